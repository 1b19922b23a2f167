package org.knapweedbank.wire;

/** Thrown when a frame is invalid or a connection cannot be established. */
public final class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Kind of the failure. */
    public enum Kind {
        /** The frame is shorter than the two header bytes or longer than the maximum size. */
        LENGTH,
        /** The protocol version of the frame is not that of the connection. */
        VERSION,
        /** The type byte of the frame is unknown. */
        TYPE,
        /** The payload is not a valid MessagePack encoding of the message. */
        MALFORMED,
        /** The payload exceeds the limit on nesting depth, string length or array size. */
        LIMIT,
        /** No connection could be established, or the server could not listen on its port. */
        CONNECT,
        /** The peer refused the connection, did not respond in time, or violated the handshake. */
        HANDSHAKE
    }

    private final Kind mKind;

    /**
     * Creates an exception.
     *
     * @param kind kind of the failure
     * @param message description of the failure
     */
    public FrameException(Kind kind, String message) {
        super(message);
        mKind = kind;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param kind kind of the failure
     * @param message description of the failure
     * @param cause the underlying failure
     */
    public FrameException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        mKind = kind;
    }

    /**
     * Returns the kind of the failure.
     *
     * @return the kind
     */
    public Kind kind() {
        return mKind;
    }
}
