package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/** Reports a change of the configuration and waits for it if asked to. */
final class ChangeReport {
    private static final int DEFAULT_WAIT_SECONDS = 30;
    private static final int MAX_WAIT_SECONDS = 3600;

    private ChangeReport() {}

    static ExitCode report(Invocation invocation, ServerAnswer answer) throws UsageException {
        Output output = invocation.output();
        Duration timeout = timeout(invocation);
        if (!(answer instanceof ServerAnswer.Answered answered) || !answered.succeeded()) {
            return Answers.failedChange(output, answer);
        }
        JsonNode body = answered.body();
        long generation = body.path("generation").asLong();
        body.path("warnings").forEach(warning -> output.message(warning.asText()));
        if (output.isJson()) {
            output.json(body);
        } else if (body.path("changed").asBoolean()) {
            output.line("applied; generation " + generation);
        } else {
            output.line("no change; generation " + generation + " is already as wanted");
        }
        return invocation.line().hasOption(CommandOptions.WAIT.getLongOpt())
                ? ConfirmationWait.await(invocation, generation, timeout)
                : ExitCode.DONE;
    }

    private static Duration timeout(Invocation invocation) throws UsageException {
        Long seconds = CommandOptions.number(invocation.line(), CommandOptions.WAIT_TIMEOUT, 1);
        if (seconds != null && seconds > MAX_WAIT_SECONDS) {
            throw new UsageException("--wait-timeout: accepted: 1 to " + MAX_WAIT_SECONDS);
        }
        return Duration.ofSeconds(seconds == null ? DEFAULT_WAIT_SECONDS : seconds);
    }
}
