package org.knapweedbank.tools;

/** Thrown when the command line or the settings are invalid; the message says what is accepted. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
