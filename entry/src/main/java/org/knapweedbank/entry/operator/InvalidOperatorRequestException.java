package org.knapweedbank.entry.operator;

/**
 * Thrown when an operator's request is invalid. The message names the invalid part and the accepted
 * values, and is sent to the operator.
 */
final class InvalidOperatorRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidOperatorRequestException(String message) {
        super(message);
    }
}
