package org.knapweedbank.tools;

import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.cli.CommandLine;
import org.knapweedbank.time.Clock;

/**
 * One run of a command.
 *
 * @param line parsed options
 * @param arguments arguments after the name of the command
 * @param server the operator listeners
 * @param output where results and messages go
 * @param clock clock of waiting
 * @param pause waits for a short time between two polls
 * @param changeIds gives each change an identifier
 */
record Invocation(
        CommandLine line,
        List<String> arguments,
        OperatorServer server,
        Output output,
        Clock clock,
        Runnable pause,
        Supplier<String> changeIds) {}
