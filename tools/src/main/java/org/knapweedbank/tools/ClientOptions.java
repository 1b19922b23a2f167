package org.knapweedbank.tools;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Command-line options common to all commands. */
final class ClientOptions {
    static final Option OUTPUT =
            CommandOptions.option("output", "FORMAT", "table or json; default table");
    static final Option SERVER =
            CommandOptions.option(
                    "server",
                    "HOST:PORT",
                    "operator listener of an entry; may be specified several times");
    static final Option KEY_FILE =
            CommandOptions.option("key-file", "FILE", "file that contains the bearer key");
    static final Option SETTINGS =
            CommandOptions.option(
                    "settings",
                    "FILE",
                    "settings file; default KNAPWEEDBANK_SETTINGS, then ~/.knapweedbank.json");
    static final Option TIMEOUT =
            CommandOptions.option(
                    "timeout",
                    "SECONDS",
                    "timeout of a connection and of a response, 1 to 600; default 10");
    static final Option HELP = CommandOptions.option("help", null, "show help and exit");

    private ClientOptions() {}

    static Options commonOptions() {
        return new Options()
                .addOption(OUTPUT)
                .addOption(SERVER)
                .addOption(KEY_FILE)
                .addOption(SETTINGS)
                .addOption(TIMEOUT)
                .addOption(HELP);
    }

    /** Returns the options of all commands, so that options may precede the command name. */
    static Options allOptions() {
        Options options = commonOptions();
        // Some commands have options in common, which addOptions() would reject.
        Commands.ALL.forEach(command -> command.options().getOptions().forEach(options::addOption));
        return options;
    }
}
