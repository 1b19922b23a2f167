package org.knapweedbank.soak;

/**
 * What a worker saw of a run.
 *
 * @param atMillis time since the start of the deployment
 * @param kind what happened
 * @param worker identifier of the worker
 * @param incarnation start time of the worker, which tells its incarnations apart
 * @param fence fencing token that the worker knows
 * @param task name of the task, empty for a lapse
 * @param run number of the run
 * @param detail how the run ended, or which call acknowledged the end
 */
record RunEvent(
        long atMillis,
        Kind kind,
        String worker,
        long incarnation,
        long fence,
        String task,
        long run,
        String detail) {

    /** Kinds of events. */
    enum Kind {
        START,
        END,
        ACKNOWLEDGED,
        LEASE_EXPIRED
    }

    /** Returns the identifier of the job that the task belongs to. */
    String job() {
        return task.split("\\.", 2)[0];
    }

    boolean isSameRun(RunEvent other) {
        return isSameIncarnation(other) && task.equals(other.task) && run == other.run;
    }

    boolean isSameIncarnation(RunEvent other) {
        return worker.equals(other.worker) && incarnation == other.incarnation;
    }

    @Override
    public String toString() {
        return "%8.3f %-13s %s run %d on %s/%d fence %d %s"
                .formatted(atMillis / 1_000.0, kind, task, run, worker, incarnation, fence, detail);
    }
}
