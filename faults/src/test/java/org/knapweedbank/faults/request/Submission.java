package org.knapweedbank.faults.request;

/** One call of a caller; a repeat of a key is a submission with the next number. */
record Submission(Kind kind, int request, int repeat) {
    String key() {
        return kind == Kind.KEYED ? "key-" + request : "";
    }

    Submission next() {
        return new Submission(kind, request, repeat + 1);
    }

    @Override
    public String toString() {
        return kind + "-" + request + "." + repeat;
    }
}
