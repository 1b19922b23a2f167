package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.model.DaemonId;

/**
 * VMs that have refused the orders of a task since its last start. The task is tried on other VMs
 * first, and on these at a bounded rate. Times are monotonic, in milliseconds.
 */
final class TaskRefusals {
    /**
     * Time after a refusal in which the VM gets no order of the task. It is longer than the backoff
     * of a VM, so that other tasks are tried there in between.
     */
    static final long RETRY_MILLIS = 500;

    private final Map<DaemonId, Long> mRetryAt = new HashMap<>(2);

    /**
     * Records a refusal. A first order that has not been carried out may have been lost, and is
     * repeated at once.
     */
    void record(DaemonId vm, StartOutcome outcome, long now) {
        boolean lost = outcome == StartOutcome.NOT_STARTED && !mRetryAt.containsKey(vm);
        mRetryAt.put(vm, lost ? now : now + RETRY_MILLIS);
    }

    /** Forgets the refusals, after a start. */
    void clear() {
        mRetryAt.clear();
    }

    boolean isEmpty() {
        return mRetryAt.isEmpty();
    }

    /** Returns whether a VM has refused the task since its last start. */
    boolean refusedBy(DaemonId vm) {
        return mRetryAt.containsKey(vm);
    }

    /** Returns whether a VM gets no order of the task now. */
    boolean delayOrder(DaemonId vm, long now) {
        return mRetryAt.getOrDefault(vm, Long.MIN_VALUE) > now;
    }
}
