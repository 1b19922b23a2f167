package org.knapweedbank.tools;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/** Options that belong to single commands. */
final class CommandOptions {
    static final Option EXPECT =
            option("expect", "GENERATION", "refuse the change unless this generation is in force");
    static final Option WAIT =
            option("wait", null, "wait until all daemons have confirmed the generation");
    static final Option WAIT_TIMEOUT =
            option("wait-timeout", "SECONDS", "longest time to wait, 1 to 3600; default 30");
    static final Option CONFIRM =
            option(
                    "confirm-no-data-centre",
                    null,
                    "confirm that no data centre may be left in service");
    static final Option LIMIT = option("limit", "COUNT", "number of records, 1 to 500; default 50");
    static final Option BEFORE =
            option("before", "GENERATION", "only records of generations below this one");

    private CommandOptions() {}

    static Option option(String name, String argument, String description) {
        Option.Builder builder = Option.builder().longOpt(name).desc(description);
        if (argument != null) {
            builder.hasArg().argName(argument);
        }
        return builder.get();
    }

    /** Value of an option that takes a number, or null if it is not given. */
    static Long number(CommandLine line, Option option, long least) throws UsageException {
        String text = line.getOptionValue(option.getLongOpt());
        if (text == null) {
            return null;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= least) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new UsageException(
                "--%s: found %s; accepted: an integer from %d"
                        .formatted(option.getLongOpt(), text, least));
    }

    /** Query parameter that confirms a site without a data centre in service. */
    static String confirmation(CommandLine line, String separator) {
        return line.hasOption(CONFIRM.getLongOpt())
                ? separator + "confirm=no-data-centre-in-service"
                : "";
    }
}
