package org.knapweedbank.tools;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the command-line client. */
interface Command {
    /** Returns the name of the command, such as {@code dc out}; it may consist of several words. */
    String name();

    /** Returns the arguments and options for the usage line, such as {@code NAME}. */
    String usage();

    /** Returns a sentence that describes the command. */
    String summary();

    /** Returns example command lines, one per line. */
    String examples();

    /** Returns the accepted number of arguments. */
    ArgumentCount argumentCount();

    /** Returns the options specific to this command. */
    default Options options() {
        return new Options();
    }

    /** Returns whether the command sends requests to a server. */
    default boolean needsServer() {
        return true;
    }

    /** Returns the servers that the command sends requests to, in the order of preference. */
    default List<ServerAddress> servers(CommandLine commandLine, ClientSettings settings)
            throws UsageException {
        return needsServer() ? settings.requireServers() : settings.servers();
    }

    /** Runs the command and returns its exit code. */
    ExitCode run(Invocation invocation) throws UsageException;
}
