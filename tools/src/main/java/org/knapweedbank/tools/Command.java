package org.knapweedbank.tools;

import org.apache.commons.cli.Options;

/** A command of the client. */
interface Command {
    /** Words by which the command is called, such as {@code dc out}. */
    String name();

    /** Arguments and options in the usage line, such as {@code NAME}. */
    String usage();

    /** One sentence that says what the command does. */
    String summary();

    /** Example calls, one a line. */
    String examples();

    /** Number of arguments: least and most. */
    ArgumentCount arguments();

    /** Options of this command alone. */
    default Options options() {
        return new Options();
    }

    /** Whether the command needs a server. */
    default boolean needsServer() {
        return true;
    }

    /** Runs the command. */
    ExitCode run(Invocation invocation) throws UsageException;
}
