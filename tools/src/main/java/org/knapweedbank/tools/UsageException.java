package org.knapweedbank.tools;

/** The command line or the settings are wrong; the message says what is accepted. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
