package org.knapweedbank.entry.upstream;

/** Classifies the reasons that agents give in {@code NotRun} messages. */
final class NotRunReasons {
    private NotRunReasons() {}

    /**
     * Tells whether the agent could not connect to the upstream, which counts as a failure of the
     * upstream. All other reasons do not: the upstream is busy or leaving, or the deadline has
     * passed.
     *
     * @param reason reason text of the message
     * @return true if the reason is a connection failure
     */
    static boolean isUpstreamFailure(String reason) {
        return reason.startsWith("cannot connect");
    }
}
