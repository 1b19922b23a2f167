package org.knapweedbank.jobs.reservation;

import java.util.Locale;

/** Why a reservation ended without the start of its task on its VM. */
public enum DropReason {
    /** The VM may not get start orders any more. */
    VM_UNUSABLE,

    /** The task is done, cancelled or found room, or more urgent ones wait. */
    NOT_WAITING,

    /** The task or another one of its step started on another VM. */
    STARTED_ELSEWHERE,

    /** The resources did not become free in time. */
    EXPIRED,

    /** No VM is expected to have the resources in time. */
    NO_ROOM,

    /** Another VM has the resources much earlier. */
    MOVED,

    /** The plan was too old, after a pause of the owner. */
    OUTDATED;

    /**
     * Returns the name in logs and counters.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
