package org.knapweedbank.tools;

/**
 * Sends configuration changes and job submissions. If the outcome of a request is unknown, the same
 * request is retried with the same identifier. The server performs it at most once and reports
 * whether it was performed.
 */
final class ChangeSender {
    private static final int MAX_ATTEMPTS = 3;

    private ChangeSender() {}

    static ServerResponse send(Invocation invocation, String path, byte[] body) {
        boolean earlierResponseLost = false;
        ServerResponse response = invocation.server().call("POST", path, body);
        for (int attempt = 1;
                attempt < MAX_ATTEMPTS && isOutcomeUnknown(response, earlierResponseLost);
                attempt++) {
            earlierResponseLost = true;
            invocation.output().printMessage("no response to the change; reading its outcome back");
            invocation.pause().run();
            response = invocation.server().call("POST", path, body);
        }
        boolean outcomeUnknown = earlierResponseLost && isOutcomeUnknown(response, true);
        return outcomeUnknown
                ? new ServerResponse.Lost("the outcome could not be determined")
                : response;
    }

    /**
     * Returns whether the outcome is still unknown. After a lost response, an unreachable server or
     * a server error says nothing about the outcome of the earlier attempt.
     */
    private static boolean isOutcomeUnknown(ServerResponse response, boolean earlierResponseLost) {
        boolean serviceUnavailable =
                response instanceof ServerResponse.NotSent
                        || response instanceof ServerResponse.Received received
                                && received.status() >= 500;
        return response.isOutcomeUnknown() || earlierResponseLost && serviceUnavailable;
    }
}
