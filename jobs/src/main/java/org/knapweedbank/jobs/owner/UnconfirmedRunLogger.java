package org.knapweedbank.jobs.owner;

import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;

/**
 * Logs once a second the long-running tasks whose run no worker has confirmed recently. They count
 * as running, so that {@link LongRunningWaitLogger} leaves them out.
 */
final class UnconfirmedRunLogger {
    private static final String COUNTER = "long_running_unconfirmed_millis";
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** Maximum number of lines in one interval. Of more runs, evenly spaced ones are logged. */
    private static final int MAX_LINES = 10;

    /**
     * Maximum time between lists of a sound worker, in milliseconds. Agents report them once a
     * second, but two seconds pass from a new connection to the first ones whose age is known. Half
     * a second is left for delays.
     */
    private static final long MAX_LIST_AGE_MILLIS = 2_500;

    /** Maximum time for which no list confirms a run on a VM without a connection. */
    private static final long MAX_DISCONNECTED_MILLIS = 1_000;

    private final OwnerState mState;
    private long mLoggedAt;

    UnconfirmedRunLogger(OwnerState state) {
        mState = state;
        mLoggedAt = state.now();
    }

    /** Logs the runs if the interval has passed. */
    void logIfDue() {
        long elapsed = mState.now() - mLoggedAt;
        if (elapsed < LOG_INTERVAL_MILLIS) {
            return;
        }
        mLoggedAt = mState.now();
        List<Run> runs = findUnconfirmed();
        runs.forEach(run -> mState.mLog.count(COUNTER, findReason(run).name(), elapsed));
        int stride = Math.max(1, Math.ceilDiv(runs.size(), MAX_LINES));
        IntStream.iterate(0, i -> i < runs.size(), i -> i + stride)
                .mapToObj(runs::get)
                .forEach(this::record);
    }

    private List<Run> findUnconfirmed() {
        return mState.unfinishedJobs().stream()
                .flatMap(Job::steps)
                .filter(step -> step.mSpec.traits().longRunning())
                .flatMap(step -> step.mTasks.stream())
                .map(task -> task.mRun)
                .filter(Objects::nonNull)
                .filter(this::isUnconfirmed)
                .toList();
    }

    private boolean isUnconfirmed(Run run) {
        long now = mState.now();
        long limit = run.mVm.mConnected ? MAX_LIST_AGE_MILLIS : MAX_DISCONNECTED_MILLIS;
        return run.startUnanswered(now)
                || run.stopUnanswered(now)
                || run.absentFromLists()
                || run.notShownMillis(now) > limit;
    }

    private UnconfirmedReason findReason(Run run) {
        if (!run.mVm.mConnected) {
            return UnconfirmedReason.DISCONNECTED;
        }
        if (mState.now() - run.mVm.mListsReceivedAt > MAX_LIST_AGE_MILLIS) {
            return mState.ownershipConfirmed()
                    ? UnconfirmedReason.OLD_LISTS
                    : UnconfirmedReason.OWNER;
        }
        if (!run.mStartConfirmed) {
            return UnconfirmedReason.START_UNANSWERED;
        }
        return run.absentFromLists()
                ? UnconfirmedReason.UNLISTED
                : UnconfirmedReason.STOP_UNANSWERED;
    }

    private void record(Run run) {
        long now = mState.now();
        mState.mLog.record(
                "task.unconfirmed",
                run.mTask.mName,
                "run",
                run.mNumber,
                "vm",
                run.mVm.mAgent.value(),
                "unconfirmed_ms",
                run.notShownMillis(now),
                "reason",
                findReason(run),
                "stopping_ms",
                run.stoppingMillis(now));
    }
}
