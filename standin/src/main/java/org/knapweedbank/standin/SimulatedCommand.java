package org.knapweedbank.standin;

import java.util.Iterator;
import java.util.List;

/**
 * Behaviour of a simulated task, parsed from its command line: {@code simulate [--millis N]
 * [--fail] [--checkpoint-millis N] [--usage SHARE]}.
 *
 * @param runMillis run time in milliseconds without throttling; 0 for a task that runs until it is
 *     stopped
 * @param fails true if the task fails at the end of its run time, or at once if that is 0
 * @param checkpointMillis time to write a checkpoint, in milliseconds
 * @param cpuUsage fraction of its CPU reservation that the task uses without throttling
 */
record SimulatedCommand(long runMillis, boolean fails, long checkpointMillis, double cpuUsage) {
    static SimulatedCommand parse(List<String> command) throws BadRequestException {
        if (command.isEmpty() || !command.getFirst().equals("simulate")) {
            throw new BadRequestException("program is not known: " + command);
        }
        long runMillis = 0;
        boolean fails = false;
        long checkpointMillis = 0;
        double cpuUsage = 1;
        Iterator<String> arguments = command.listIterator(1);
        while (arguments.hasNext()) {
            String option = arguments.next();
            switch (option) {
                case "--fail" -> fails = true;
                case "--millis" -> runMillis = parseMillis(option, arguments);
                case "--checkpoint-millis" -> checkpointMillis = parseMillis(option, arguments);
                case "--usage" -> cpuUsage = parseFraction(option, arguments);
                default -> throw new BadRequestException("argument is not known: " + option);
            }
        }
        return new SimulatedCommand(runMillis, fails, checkpointMillis, cpuUsage);
    }

    private static long parseMillis(String option, Iterator<String> arguments)
            throws BadRequestException {
        try {
            return Long.parseUnsignedLong(nextValue(option, arguments));
        } catch (NumberFormatException e) {
            throw new BadRequestException(option + " is not a number of milliseconds");
        }
    }

    private static double parseFraction(String option, Iterator<String> arguments)
            throws BadRequestException {
        try {
            return Double.parseDouble(nextValue(option, arguments));
        } catch (NumberFormatException e) {
            throw new BadRequestException(option + " is not a number");
        }
    }

    private static String nextValue(String option, Iterator<String> arguments)
            throws BadRequestException {
        if (!arguments.hasNext()) {
            throw new BadRequestException(option + " lacks its value");
        }
        return arguments.next();
    }
}
