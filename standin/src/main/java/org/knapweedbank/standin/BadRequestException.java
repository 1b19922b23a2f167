package org.knapweedbank.standin;

/** Thrown when a request to a simulated service is malformed or not supported. */
final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    BadRequestException(String message) {
        super(message);
    }
}
