package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedbank.config.ConfigurationError;

/** Messages and exit codes for answers that are not successes. */
final class Answers {
    private Answers() {}

    /** Reports a failed request that only reads. */
    static ExitCode failedRead(Output output, ServerAnswer answer) {
        return switch (answer) {
            case ServerAnswer.Answered answered -> refused(output, answered);
            case ServerAnswer.NotSent(String reason) -> unreachable(output, reason);
            case ServerAnswer.Lost(String reason) -> unreachable(output, reason);
        };
    }

    /** Reports a change that was not made, or of which this is not known. */
    static ExitCode failedChange(Output output, ServerAnswer answer) {
        if (answer.outcomeUnknown()) {
            String reason =
                    answer instanceof ServerAnswer.Lost(String lost)
                            ? lost
                            : ((ServerAnswer.Answered) answer).detail();
            output.message("outcome unknown: the change may have been made or not; " + reason);
            return ExitCode.UNKNOWN;
        }
        return failedRead(output, answer);
    }

    private static ExitCode unreachable(Output output, String reason) {
        output.message("no server answered; nothing was changed: " + reason);
        return ExitCode.UNREACHABLE;
    }

    private static ExitCode refused(Output output, ServerAnswer.Answered answered) {
        for (JsonNode error : answered.body().path("errors")) {
            output.message(
                    new ConfigurationError(
                                    error.path("file").asText(),
                                    error.path("line").asInt(),
                                    error.path("path").asText(),
                                    error.path("found").asText(),
                                    error.path("accepted").asText())
                            .toString());
        }
        if (answered.status() == 409) {
            output.message("conflict, nothing was changed: " + answered.detail());
            return ExitCode.CONFLICT;
        }
        output.message("refused: " + answered.detail());
        return answered.status() == 503 ? ExitCode.UNREACHABLE : ExitCode.REFUSED;
    }
}
