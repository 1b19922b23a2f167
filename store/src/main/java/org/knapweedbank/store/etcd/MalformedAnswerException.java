package org.knapweedbank.store.etcd;

/** An answer of the gateway does not have the published form. */
final class MalformedAnswerException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedAnswerException(String message) {
        super(message);
    }
}
