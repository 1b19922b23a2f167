package org.knapweedbank.tools;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Options that all commands share. */
final class ClientOptions {
    static final Option OUTPUT =
            CommandOptions.option("output", "FORMAT", "table or json; default table");
    static final Option SERVER =
            CommandOptions.option(
                    "server",
                    "HOST:PORT",
                    "operator listener of an entry; may be given several times");
    static final Option KEY_FILE =
            CommandOptions.option("key-file", "FILE", "file with the bearer key");
    static final Option SETTINGS =
            CommandOptions.option(
                    "settings",
                    "FILE",
                    "settings file; default KNAPWEEDBANK_SETTINGS, then ~/.knapweedbank.json");
    static final Option TIMEOUT =
            CommandOptions.option(
                    "timeout", "SECONDS", "time allowed for an answer, 1 to 600; default 10");
    static final Option HELP = CommandOptions.option("help", null, "show help and end");

    private ClientOptions() {}

    static Options common() {
        return new Options()
                .addOption(OUTPUT)
                .addOption(SERVER)
                .addOption(KEY_FILE)
                .addOption(SETTINGS)
                .addOption(TIMEOUT)
                .addOption(HELP);
    }

    /** The options of all commands, so that options may stand before the command. */
    static Options all() {
        Options options = common();
        // Several commands share an option, which addOptions() would refuse.
        Commands.ALL.forEach(command -> command.options().getOptions().forEach(options::addOption));
        return options;
    }
}
