package org.knapweedbank.agent;

/** A request that was forwarded to an upstream. */
interface UpstreamCall {
    /** Aborts the request; the listener receives no further events. */
    void cancel();

    /** Pauses reading the answer. */
    void pause();

    /** Resumes reading the answer. */
    void resume();
}
