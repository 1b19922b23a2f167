package org.knapweedbank.faults.request;

/** Steps in the life of a request at which faults are injected. */
public enum RequestStep {
    ACCEPTED,
    CLAIM_SENT,
    CLAIMED,
    SENT,
    ARRIVED,
    RUNNING,
    ANSWERING,
    ANSWER_HEAD,
    ANSWER_PART,
    ANSWER_END,
    KEY_REPEATED,
    STREAM_RUNNING,
    UPSTREAM_LEAVING,
    STREAM_MOVED,
    AGENT_STOPPING
}
