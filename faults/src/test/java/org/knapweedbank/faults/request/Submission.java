package org.knapweedbank.faults.request;

/** One call of a caller; a repeat of a key is a submission with the next number. */
record Submission(RequestKind kind, int requestIndex, int repeatIndex) {
    String idempotencyKey() {
        return kind == RequestKind.KEYED ? "key-" + requestIndex : "";
    }

    Submission nextRepeat() {
        return new Submission(kind, requestIndex, repeatIndex + 1);
    }

    @Override
    public String toString() {
        return kind + "-" + requestIndex + "." + repeatIndex;
    }
}
