package org.knapweedbank.control;

/** A journal record or snapshot cannot be decoded. */
public final class JournalFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong
     * @param cause the codec's error
     */
    public JournalFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
