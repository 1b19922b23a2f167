package org.knapweedbank.store.etcd;

/** Outcome of one HTTP request. */
sealed interface HttpOutcome {
    /** A complete response arrived. */
    record ResponseReceived(int status, byte[] body) implements HttpOutcome {}

    /** No byte of the request was written. */
    record NotSent(String reason) implements HttpOutcome {}

    /** The request may have been received, but there is no usable response. */
    record NoUsableResponse(String reason) implements HttpOutcome {}
}
