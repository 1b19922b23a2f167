package org.knapweedbank.faults.request;

/**
 * Kinds of requests, which differ in whether they may be repeated: GET and STREAM are idempotent,
 * POST is not, and KEYED is not but carries an idempotency key.
 */
enum RequestKind {
    GET,
    POST,
    KEYED,
    STREAM;

    /** Returns whether a request of the kind may run more than once. */
    boolean isIdempotent() {
        return this == GET || this == STREAM;
    }
}
