package org.knapweedbank.config;

/** Thrown when a document written by the system itself cannot be encoded or decoded. */
public final class ConfigurationFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message description of the malformed part
     * @param cause the cause, or null
     */
    public ConfigurationFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
