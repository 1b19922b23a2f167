package org.knapweedbank.store.journal;

/** Thrown when a value of the journal in the store is malformed. */
final class MalformedValueException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedValueException(String message) {
        super(message);
    }
}
