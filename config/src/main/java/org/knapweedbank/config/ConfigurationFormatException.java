package org.knapweedbank.config;

/** A document that the system itself wrote cannot be read. */
public final class ConfigurationFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is malformed
     * @param cause the cause, or null
     */
    public ConfigurationFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
