package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.jobs.reservation.EndingRun;

/**
 * Estimates when runs end. The expected run time of a step is kept for a short time, since it
 * changes little and many waiting tasks are compared with the reservations of many VMs.
 */
final class RunEndEstimator {
    /** Time in which a run that is being stopped is expected to end, in milliseconds. */
    private static final long STOP_MILLIS = 500;

    /**
     * Lower bound of the share of its processor time that a paced run counts with, so that a run
     * without any still has a finite expected end.
     */
    private static final double MIN_CPU_SHARE = 0.05;

    /** Time for which expected run times are kept, in milliseconds. */
    private static final long MAX_AGE_MILLIS = 500;

    private final OwnerState mState;

    /** Run times of the tasks of each step. */
    private final Map<Step, RunTimes> mRunTimes = new HashMap<>();

    private long mNextResetAt = Long.MIN_VALUE;

    RunEndEstimator(OwnerState state) {
        mState = state;
    }

    /** Discards expected run times that have been kept for long, at the start of a round. */
    void startRound() {
        if (mState.now() >= mNextResetAt) {
            mRunTimes.clear();
            mNextResetAt = mState.now() + MAX_AGE_MILLIS;
        }
    }

    /** Returns whether a run ends without being stopped, or is being stopped. */
    static boolean ends(Run run) {
        return run.mStopping || !run.mTask.mStep.mSpec.traits().longRunning();
    }

    /** Returns the expected end of a run that {@linkplain #ends ends}. */
    EndingRun endOf(Run run) {
        Step step = run.mTask.mStep;
        if (run.mStopping) {
            long end = mState.now() + STOP_MILLIS;
            return new EndingRun(step.mSpec.reservation(), end, end);
        }
        RunTimes times = runTimes(step);
        double remaining = run.mTask.remainingShare() / Math.max(MIN_CPU_SHARE, run.cpuShare());
        return new EndingRun(
                step.mSpec.reservation(),
                run.mLastProgressAt + (long) (times.expectedMillis() * remaining),
                run.mLastProgressAt + (long) (times.latestMillis() * remaining));
    }

    /**
     * Returns the time by which a task that starts now will very likely have ended, {@code
     * Long.MAX_VALUE} if it runs until it is stopped. A checkpoint does not count, as its progress
     * is unknown.
     */
    long latestEndOfStart(Step step) {
        return step.mSpec.traits().longRunning()
                ? Long.MAX_VALUE
                : mState.now() + (long) runTimes(step).latestMillis();
    }

    private RunTimes runTimes(Step step) {
        return mRunTimes.computeIfAbsent(step, this::computeRunTimes);
    }

    private RunTimes computeRunTimes(Step step) {
        double expected = step.expectedRunMillis(mState.mRunTimeEstimator);
        double ratio = mState.mRunTimeAccuracy.latestRatio(step.mJob.queue().key());
        return new RunTimes(expected, expected * ratio);
    }

    /** Expected run time at full speed, and the time that most runs do not exceed. */
    private record RunTimes(double expectedMillis, double latestMillis) {}
}
