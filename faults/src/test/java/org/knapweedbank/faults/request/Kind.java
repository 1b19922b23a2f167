package org.knapweedbank.faults.request;

/** Kinds of requests that differ in how they may be treated. */
enum Kind {
    GET,
    POST,
    KEYED,
    STREAM;

    boolean idempotent() {
        return this == GET || this == STREAM;
    }
}
