package org.knapweedbank.faults.request;

/** Kinds of requests that differ in how they may be treated. */
enum RequestKind {
    GET,
    POST,
    KEYED,
    STREAM;

    boolean isIdempotent() {
        return this == GET || this == STREAM;
    }
}
