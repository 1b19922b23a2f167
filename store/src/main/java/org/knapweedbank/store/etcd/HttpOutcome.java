package org.knapweedbank.store.etcd;

/** Outcome of one HTTP request. */
sealed interface HttpOutcome {
    /** A whole answer arrived. */
    record Answered(int status, byte[] body) implements HttpOutcome {}

    /** No byte of the request was written. */
    record NotSent(String reason) implements HttpOutcome {}

    /** The request may have been received; there is no usable answer. */
    record Lost(String reason) implements HttpOutcome {}
}
