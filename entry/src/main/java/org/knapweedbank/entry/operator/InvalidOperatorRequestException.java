package org.knapweedbank.entry.operator;

/** A request has an invalid part; the message says which and what is accepted. */
final class InvalidOperatorRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidOperatorRequestException(String message) {
        super(message);
    }
}
