package org.knapweedbank.tools;

/**
 * Sends a change of the configuration. When no answer arrives, the same change is sent again under
 * the same identifier: the server makes it at most once and tells whether it has been made.
 */
final class ChangeSender {
    private static final int MAX_ATTEMPTS = 3;

    private ChangeSender() {}

    static ServerAnswer send(Invocation invocation, String path, byte[] body) {
        boolean lost = false;
        ServerAnswer answer = invocation.server().call("POST", path, body);
        for (int attempt = 1; attempt < MAX_ATTEMPTS && unsettled(answer, lost); attempt++) {
            lost = true;
            invocation.output().message("no answer to the change; reading its outcome back");
            invocation.pause().run();
            answer = invocation.server().call("POST", path, body);
        }
        boolean open = lost && unsettled(answer, true);
        return open ? new ServerAnswer.Lost("its outcome could not be read back") : answer;
    }

    /** After a lost answer, a refusal for lack of a store tells nothing about the first attempt. */
    private static boolean unsettled(ServerAnswer answer, boolean lost) {
        boolean noService =
                answer instanceof ServerAnswer.NotSent
                        || answer instanceof ServerAnswer.Answered answered
                                && answered.status() >= 500;
        return answer.outcomeUnknown() || lost && noService;
    }
}
