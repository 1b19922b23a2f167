package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedbank.config.ConfigurationError;

/** Prints messages for failed requests and determines the exit code. */
final class FailureReporter {
    private FailureReporter() {}

    /** Reports a failed request that does not change anything. */
    static ExitCode reportFailedRead(Output output, ServerResponse response) {
        return switch (response) {
            case ServerResponse.Received received -> reportRejection(output, received);
            case ServerResponse.NotSent(String reason) -> reportUnreachable(output, reason);
            case ServerResponse.Lost(String reason) -> reportUnreachable(output, reason);
        };
    }

    /** Reports a change that was not made or whose outcome is unknown. */
    static ExitCode reportFailedChange(Output output, ServerResponse response) {
        if (response.isOutcomeUnknown()) {
            String reason =
                    response instanceof ServerResponse.Lost(String lostReason)
                            ? lostReason
                            : ((ServerResponse.Received) response).detail();
            output.printMessage("outcome unknown: the change may have been made or not; " + reason);
            return ExitCode.UNKNOWN;
        }
        return reportFailedRead(output, response);
    }

    private static ExitCode reportUnreachable(Output output, String reason) {
        output.printMessage("no server answered; nothing was changed: " + reason);
        return ExitCode.UNREACHABLE;
    }

    private static ExitCode reportRejection(Output output, ServerResponse.Received received) {
        for (JsonNode error : received.body().path("errors")) {
            output.printMessage(
                    new ConfigurationError(
                                    error.path("file").asText(),
                                    error.path("line").asInt(),
                                    error.path("path").asText(),
                                    error.path("found").asText(),
                                    error.path("accepted").asText())
                            .toString());
        }
        if (received.status() == 409) {
            output.printMessage("conflict, nothing was changed: " + received.detail());
            return ExitCode.CONFLICT;
        }
        output.printMessage("refused: " + received.detail());
        return received.status() == 503 ? ExitCode.UNREACHABLE : ExitCode.REFUSED;
    }
}
