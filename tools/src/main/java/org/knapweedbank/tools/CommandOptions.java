package org.knapweedbank.tools;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/** Command-line options of individual commands. */
final class CommandOptions {
    static final Option EXPECT =
            option("expect", "GENERATION", "reject the change unless this generation is in force");
    static final Option WAIT =
            option("wait", null, "wait until all daemons have confirmed the generation");
    static final Option WAIT_TIMEOUT =
            option("wait-timeout", "SECONDS", "maximum time to wait, 1 to 3600; default 30");
    static final Option CONFIRM =
            option(
                    "confirm-no-data-centre",
                    null,
                    "confirm that no data centre may be left in service");
    static final Option AGAINST =
            option(
                    "against",
                    "FILE|SERVER",
                    "show the differences from a complete document or from the generation in force;"
                            + " SERVER is HOST:PORT, or \"server\" for --server and the settings");
    static final Option LIMIT = option("limit", "COUNT", "number of records, 1 to 500; default 50");
    static final Option BEFORE =
            option("before", "GENERATION", "list only records of generations below this one");

    private CommandOptions() {}

    static Option option(String name, String argumentName, String description) {
        Option.Builder builder = Option.builder().longOpt(name).desc(description);
        if (argumentName != null) {
            builder.hasArg().argName(argumentName);
        }
        return builder.get();
    }

    /** Returns the value of a numeric option, or null if the option is absent. */
    static Long parseNumber(CommandLine commandLine, Option option, long minimum)
            throws UsageException {
        String text = commandLine.getOptionValue(option.getLongOpt());
        if (text == null) {
            return null;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= minimum) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new UsageException(
                "--%s: found %s; accepted: an integer from %d"
                        .formatted(option.getLongOpt(), text, minimum));
    }

    /** Returns the query parameter that confirms a change leaving no data centre in service. */
    static String confirmationParameter(CommandLine commandLine, String separator) {
        return commandLine.hasOption(CONFIRM.getLongOpt())
                ? separator + "confirm=no-data-centre-in-service"
                : "";
    }
}
