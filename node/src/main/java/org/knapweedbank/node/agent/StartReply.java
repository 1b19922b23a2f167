package org.knapweedbank.node.agent;

import java.util.OptionalLong;

/** Reply of a worker to a start order. */
public sealed interface StartReply {
    /**
     * The worker has started the run.
     *
     * @param workerClockMillis time of the worker's clock, empty if the answer can't be read
     * @param incarnation start of the answering worker's process in Unix milliseconds, empty if the
     *     answer does not name it
     */
    record Started(OptionalLong workerClockMillis, OptionalLong incarnation)
            implements StartReply {}

    /**
     * The order was refused and will not be carried out.
     *
     * @param cause cause of the refusal
     */
    record Refused(Cause cause) implements StartReply {}

    /**
     * There was no answer. The order may have been carried out, or may still be until its deadline.
     *
     * @param reason cause for the log
     */
    record NoAnswer(String reason) implements StartReply {}

    /** Cause of a refusal. */
    enum Cause {
        /** The worker has seen a higher fencing token. */
        FENCED,
        /** The worker has already had a run of the task with this or a higher number. */
        OUTDATED_RUN,
        /** The deadline of the order has passed. */
        TOO_LATE,
        /** The worker lacks the resources that the task needs. */
        NO_ROOM,
        /** The worker is unreachable or does not accept orders at present. */
        UNHEALTHY,
        /** Another incarnation of the worker answers at the address. */
        OTHER_WORKER,
        /** The worker rejects the order as malformed or incomplete. */
        UNACCEPTABLE
    }
}
