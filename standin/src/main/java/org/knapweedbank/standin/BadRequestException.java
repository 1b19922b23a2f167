package org.knapweedbank.standin;

/** A request to a stand-in does not have the expected form. */
final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    BadRequestException(String message) {
        super(message);
    }
}
