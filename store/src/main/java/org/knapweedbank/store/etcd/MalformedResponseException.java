package org.knapweedbank.store.etcd;

/** Thrown when a response of the gateway does not have the documented format. */
final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }
}
