package org.knapweedbank.wire;

/** A frame or connection that the wire layer cannot use. */
public final class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Kind of the failure. */
    public enum Kind {
        /** The length is below the two header bytes or above the limit. */
        LENGTH,
        /** The protocol version is not the one in use. */
        VERSION,
        /** The type byte is not in the table. */
        TYPE,
        /** The payload is not the MessagePack form of the message. */
        MALFORMED,
        /** The payload exceeds a limit on nesting, string or array size. */
        LIMIT,
        /** No connection could be made. */
        CONNECT,
        /** The peer refused the connection or broke off the negotiation. */
        HANDSHAKE
    }

    private final Kind mKind;

    /**
     * Creates an exception.
     *
     * @param kind kind of the failure
     * @param message what is wrong
     */
    public FrameException(Kind kind, String message) {
        super(message);
        mKind = kind;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param kind kind of the failure
     * @param message what is wrong
     * @param cause failure of the layer below
     */
    public FrameException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        mKind = kind;
    }

    /**
     * Kind of the failure.
     *
     * @return the kind
     */
    public Kind kind() {
        return mKind;
    }
}
