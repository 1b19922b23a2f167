package org.knapweedbank.tools;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Creates the help text of the client and of each command. */
final class HelpText {
    private HelpText() {}

    static String overview() {
        StringBuilder text = new StringBuilder("usage: knapweedbank COMMAND [OPTIONS]\n\n");
        for (Command command : Commands.ALL) {
            text.append("  %-13s %s%n".formatted(command.name(), command.summary()));
        }
        text.append("\nOptions of all commands:\n")
                .append(describeOptions(ClientOptions.commonOptions()));
        return text.append(describeExitCodes()).toString();
    }

    static String forCommand(Command command) {
        StringBuilder text = new StringBuilder();
        text.append("usage: knapweedbank %s %s".formatted(command.name(), command.usage()).strip());
        text.append("\n\n").append(command.summary()).append("\n\nExamples:\n");
        command.examples().lines().forEach(line -> text.append("  ").append(line).append('\n'));
        if (!command.options().getOptions().isEmpty()) {
            text.append("\nOptions:\n").append(describeOptions(command.options()));
        }
        text.append("\nOptions of all commands:\n")
                .append(describeOptions(ClientOptions.commonOptions()));
        return text.append(describeExitCodes()).toString();
    }

    private static String describeOptions(Options options) {
        StringBuilder text = new StringBuilder();
        for (Option option : options.getOptions()) {
            String argument = option.hasArg() ? " " + option.getArgName() : "";
            String name = "--" + option.getLongOpt() + argument;
            text.append("  %-26s %s%n".formatted(name, option.getDescription()));
        }
        return text.toString();
    }

    private static String describeExitCodes() {
        return """

                Exit codes: 0 done, 1 refused or errors, 2 usage, 3 conflict, 4 outcome unknown,
                5 unreachable.
                """;
    }
}
