package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/** Reports the result of a configuration change and waits for its confirmation if requested. */
final class ChangeReport {
    private static final int DEFAULT_WAIT_SECONDS = 30;
    private static final int MAX_WAIT_SECONDS = 3600;

    private ChangeReport() {}

    static ExitCode report(Invocation invocation, ServerResponse response) throws UsageException {
        Output output = invocation.output();
        Duration timeout = parseWaitTimeout(invocation);
        if (!(response instanceof ServerResponse.Received received) || !received.isSuccess()) {
            return FailureReporter.reportFailedChange(output, response);
        }
        JsonNode body = received.body();
        long generation = body.path("generation").asLong();
        body.path("warnings").forEach(warning -> output.printMessage(warning.asText()));
        if (output.isJson()) {
            output.printJson(body);
        } else if (body.path("changed").asBoolean()) {
            output.printLine("applied; generation " + generation);
        } else {
            output.printLine(
                    "no change; generation " + generation + " already has the requested content");
        }
        return invocation.commandLine().hasOption(CommandOptions.WAIT.getLongOpt())
                ? ConfirmationWaiter.await(invocation, generation, timeout)
                : ExitCode.DONE;
    }

    private static Duration parseWaitTimeout(Invocation invocation) throws UsageException {
        Long seconds =
                CommandOptions.parseNumber(
                        invocation.commandLine(), CommandOptions.WAIT_TIMEOUT, 1);
        if (seconds != null && seconds > MAX_WAIT_SECONDS) {
            throw new UsageException("--wait-timeout: accepted: 1 to " + MAX_WAIT_SECONDS);
        }
        return Duration.ofSeconds(seconds == null ? DEFAULT_WAIT_SECONDS : seconds);
    }
}
