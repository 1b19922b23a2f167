package org.knapweedbank.faults.request;

/**
 * One submission of a request by a caller. A repeated submission has the same request index and the
 * next repeat index.
 *
 * @param kind kind of the request
 * @param requestIndex index of the request in the cell
 * @param repeatIndex number of earlier submissions of the same request
 */
record Submission(RequestKind kind, int requestIndex, int repeatIndex) {
    /** Returns the idempotency key, or an empty string if the kind has none. */
    String idempotencyKey() {
        return kind == RequestKind.KEYED ? "key-" + requestIndex : "";
    }

    /** Returns the next repeated submission of the request. */
    Submission nextRepeat() {
        return new Submission(kind, requestIndex, repeatIndex + 1);
    }

    /** Formats the submission as it appears in paths, answer bodies and the trace. */
    @Override
    public String toString() {
        return kind + "-" + requestIndex + "." + repeatIndex;
    }
}
