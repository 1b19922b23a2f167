package org.knapweedbank.faults.request;

/** Steps in the life of a request at which faults are injected. */
public enum RequestStep {
    /** An entry has accepted a request. */
    ACCEPTED,
    /** An entry has claimed an idempotency key. */
    CLAIM_SENT,
    /** The claim has been granted. */
    CLAIMED,
    /** An entry sends an attempt to an agent. */
    SENT,
    /** The attempt arrives at the agent. */
    ARRIVED,
    /** An upstream runs the request. */
    RUNNING,
    /** The upstream begins to answer. */
    ANSWERING,
    /** The agent sends the head of an answer. */
    ANSWER_HEAD,
    /** The agent sends a chunk of an answer. */
    ANSWER_PART,
    /** The agent sends the end of an answer. */
    ANSWER_END,
    /** An entry queries the answer of an earlier attempt with the same idempotency key. */
    KEY_REPEATED,
    /** An upstream sends an event of a stream. */
    STREAM_RUNNING,
    /** An upstream begins to leave. */
    UPSTREAM_LEAVING,
    /** An agent asks the entry to move a stream to another upstream. */
    STREAM_MOVED,
    /** An agent begins its planned stop. */
    AGENT_STOPPING
}
