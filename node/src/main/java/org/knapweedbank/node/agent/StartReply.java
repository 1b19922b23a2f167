package org.knapweedbank.node.agent;

/** Reply of a worker to a start order. */
public sealed interface StartReply {
    /**
     * The run is there.
     *
     * @param clock the worker's clock in milliseconds
     */
    record Started(long clock) implements StartReply {}

    /**
     * The order was refused and will not be carried out.
     *
     * @param cause why
     */
    record Refused(Cause cause) implements StartReply {}

    /**
     * No answer: the order may have been carried out, or may be until its deadline.
     *
     * @param reason cause for the log
     */
    record NoAnswer(String reason) implements StartReply {}

    /** Cause of a refusal. */
    enum Cause {
        /** The worker has seen a higher fencing token. */
        FENCED,
        /** A run with this or a higher number has been there. */
        OUTDATED_RUN,
        /** The deadline of the order has passed. */
        TOO_LATE,
        /** The worker has no room. */
        NO_ROOM,
        /** The worker takes no orders now. */
        UNHEALTHY,
        /** Another incarnation lives at the address. */
        OTHER_WORKER,
        /** The worker does not understand the order, or requires what it lacks. */
        UNACCEPTABLE
    }
}
