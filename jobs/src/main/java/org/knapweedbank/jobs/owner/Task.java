package org.knapweedbank.jobs.owner;

import java.util.HashSet;
import java.util.Set;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.model.DaemonId;

/** State of one task. */
final class Task {
    final TaskName mName;
    final Step mStep;
    boolean mDone;
    final FailedRuns mFailures = new FailedRuns();
    String mCheckpoint = "";

    /** Number of the newest run that this owner ordered or has seen. */
    long mLastRun;

    /** Time before which the task is not started again, after an end that was not its last. */
    long mNotBefore;

    /** How often the task was stopped in order to run elsewhere. */
    int mMoves;

    Attempt mAttempt;
    final Set<DaemonId> mFailedOn = new HashSet<>(2);

    Task(TaskName name, Step step) {
        mName = name;
        mStep = step;
    }

    /** Share of the task's work that its present run has not done yet. */
    double shareLeft() {
        return mAttempt == null ? 1 : 1 - mAttempt.mPercent / 100.0;
    }

    boolean waiting() {
        return !mDone && mAttempt == null;
    }
}
