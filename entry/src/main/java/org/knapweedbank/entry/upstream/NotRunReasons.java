package org.knapweedbank.entry.upstream;

/** Meaning of the reasons that agents give with {@code NotRun}. */
final class NotRunReasons {
    private NotRunReasons() {}

    /**
     * Tells whether the reason says that the upstream could not be reached, which counts against
     * it. Other reasons are that it is busy or leaving, or that the deadline has passed.
     *
     * @param reason the reason
     * @return true if the upstream has failed
     */
    static boolean upstreamFailed(String reason) {
        return reason.startsWith("cannot connect");
    }
}
