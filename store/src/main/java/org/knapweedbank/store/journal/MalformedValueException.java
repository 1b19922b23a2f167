package org.knapweedbank.store.journal;

/** A value of the journal in the store does not have the expected form. */
final class MalformedValueException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedValueException(String message) {
        super(message);
    }
}
