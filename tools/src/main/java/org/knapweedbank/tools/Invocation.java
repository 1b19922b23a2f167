package org.knapweedbank.tools;

import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.cli.CommandLine;
import org.knapweedbank.time.Clock;

/**
 * Holds the inputs of one run of a command.
 *
 * @param commandLine the parsed command line
 * @param arguments the arguments that follow the name of the command
 * @param server client of the operator listeners
 * @param output output for results and messages
 * @param clock clock that limits the time spent waiting
 * @param pause waits between two polls or attempts
 * @param changeIdSupplier creates a unique identifier for each change
 */
record Invocation(
        CommandLine commandLine,
        List<String> arguments,
        OperatorServer server,
        Output output,
        Clock clock,
        Runnable pause,
        Supplier<String> changeIdSupplier) {}
