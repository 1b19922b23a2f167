package org.knapweedbank.agent;

/** A request passed on to an upstream. */
interface UpstreamCall {
    /** Breaks the request off; no further event follows. */
    void cancel();

    /** Stops reading the answer. */
    void pause();

    /** Reads on. */
    void resume();
}
