package org.knapweedbank.control;

/** Thrown when a journal record or snapshot cannot be decoded. */
public final class JournalFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message description of what cannot be decoded
     * @param cause error of the decoder
     */
    public JournalFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
