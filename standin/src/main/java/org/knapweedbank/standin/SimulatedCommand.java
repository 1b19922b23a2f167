package org.knapweedbank.standin;

import java.util.Iterator;
import java.util.List;

/**
 * Behaviour of a simulated task, taken from its command: {@code simulate [--millis N] [--fail]
 * [--checkpoint-millis N] [--usage SHARE]}.
 *
 * @param millis run time without throttling; 0 for a task that runs until it is stopped
 * @param fails true if the task fails at the end of its run time, or at once without one
 * @param checkpointMillis time that a checkpoint takes
 * @param usage share of the declared resources that the task uses
 */
record SimulatedCommand(long millis, boolean fails, long checkpointMillis, double usage) {
    static SimulatedCommand parse(List<String> command) throws BadRequestException {
        if (command.isEmpty() || !command.getFirst().equals("simulate")) {
            throw new BadRequestException("program is not known: " + command);
        }
        long millis = 0;
        boolean fails = false;
        long checkpointMillis = 0;
        double usage = 1;
        Iterator<String> arguments = command.listIterator(1);
        while (arguments.hasNext()) {
            String name = arguments.next();
            switch (name) {
                case "--fail" -> fails = true;
                case "--millis" -> millis = number(name, arguments);
                case "--checkpoint-millis" -> checkpointMillis = number(name, arguments);
                case "--usage" -> usage = share(name, arguments);
                default -> throw new BadRequestException("argument is not known: " + name);
            }
        }
        return new SimulatedCommand(millis, fails, checkpointMillis, usage);
    }

    private static long number(String name, Iterator<String> arguments) throws BadRequestException {
        try {
            return Long.parseUnsignedLong(value(name, arguments));
        } catch (NumberFormatException e) {
            throw new BadRequestException(name + " is not a number of milliseconds");
        }
    }

    private static double share(String name, Iterator<String> arguments)
            throws BadRequestException {
        try {
            return Double.parseDouble(value(name, arguments));
        } catch (NumberFormatException e) {
            throw new BadRequestException(name + " is not a number");
        }
    }

    private static String value(String name, Iterator<String> arguments)
            throws BadRequestException {
        if (!arguments.hasNext()) {
            throw new BadRequestException(name + " lacks its value");
        }
        return arguments.next();
    }
}
