package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;

/** Table of the runs on the agent's worker and of their ends. */
final class RunTable {
    private final Map<TaskName, Run> mRuns = new HashMap<>();
    private final TreeMap<Long, EndedRun> mUnacknowledgedEnds = new TreeMap<>();

    /** Highest number of an end that the owner has stored. */
    private long mHighestAcknowledged;

    /** Highest number of an end that the worker has listed. */
    private long mHighestReported;

    void clear() {
        mRuns.clear();
        clearEnds();
    }

    /**
     * Discards what the worker has listed, after it has started again under its identifier. Start
     * orders without an outcome are kept, as the new incarnation may still carry them out. Returns
     * the discarded runs.
     */
    List<Run> clearListed() {
        List<Run> discarded = mRuns.values().stream().filter(run -> run.mStarted).toList();
        discarded.forEach(this::remove);
        clearEnds();
        return discarded;
    }

    private void clearEnds() {
        mUnacknowledgedEnds.clear();
        mHighestAcknowledged = 0;
        mHighestReported = 0;
    }

    /** Adds the run of a start order that is sent to the worker. */
    Run addOrdered(StartOrder order, WorkerId worker, long deadlineMillis, long nowMillis) {
        Run run = new Run(order.task(), order.run(), nowMillis);
        run.mOrderedFrom = worker;
        run.mDeadlineMillis = deadlineMillis;
        run.mProfile = order.profile();
        mRuns.put(order.task(), run);
        return run;
    }

    Run find(TaskName task, long number) {
        Run run = mRuns.get(task);
        return run != null && run.mNumber == number ? run : null;
    }

    boolean isStarted(TaskName task, long number) {
        Run run = find(task, number);
        return run != null && run.mStarted;
    }

    void remove(Run run) {
        mRuns.remove(run.mTask, run);
    }

    Collection<Run> runs() {
        return mRuns.values();
    }

    List<RunStatus> running() {
        return mRuns.values().stream().filter(run -> run.mStarted).map(Run::toStatus).toList();
    }

    /** Returns the runs whose start the worker has not confirmed. */
    List<RunStatus> starting() {
        return mRuns.values().stream().filter(run -> !run.mStarted).map(Run::toStatus).toList();
    }

    /**
     * Removes the started runs that are missing from a worker's complete list of runs and that
     * started before the list was requested. Returns the removed runs.
     */
    List<Run> removeAbsent(List<RunStatus> rows, long requestedAtMillis) {
        List<Run> absent = absent(rows, requestedAtMillis);
        absent.forEach(this::remove);
        return absent;
    }

    private List<Run> absent(List<RunStatus> rows, long requestedAtMillis) {
        Set<TaskName> listed = rows.stream().map(RunStatus::task).collect(Collectors.toSet());
        return mRuns.values().stream()
                .filter(run -> run.mStarted && run.mStartedAtMillis < requestedAtMillis)
                .filter(run -> !listed.contains(run.mTask))
                .toList();
    }

    /**
     * Records which started runs are missing from a worker's list of runs that leaves none out,
     * while its list of ends does. They have ended, since they started before the list was
     * requested, but how is not known.
     */
    void recordMissing(List<RunStatus> rows, long requestedAtMillis, long nowMillis) {
        absent(rows, requestedAtMillis).forEach(run -> run.markMissing(nowMillis));
    }

    /** Returns the runs that have been missing for so long that their ends are not awaited. */
    List<RunStatus> missing(long nowMillis) {
        return mRuns.values().stream()
                .filter(run -> run.isMissing(nowMillis))
                .map(Run::toStatus)
                .toList();
    }

    /** Adds and updates the runs in a worker's list. */
    void updateRunning(List<RunStatus> rows, long nowMillis) {
        for (RunStatus row : rows) {
            Run run = mRuns.get(row.task());
            if (run == null || run.mNumber < row.run()) {
                run = new Run(row.task(), row.run(), nowMillis);
                mRuns.put(row.task(), run);
            }
            if (run.mNumber == row.run()) {
                run.update(row, nowMillis);
            }
        }
    }

    /** Adds the ends that a worker has listed; returns those that are new. */
    List<EndedRun> addEnds(List<EndedRun> rows) {
        List<EndedRun> newEnds =
                rows.stream().filter(end -> end.number() > mHighestReported).toList();
        for (EndedRun end : newEnds) {
            mHighestReported = Math.max(mHighestReported, end.number());
            mUnacknowledgedEnds.put(end.number(), end);
            Run run = mRuns.get(end.task());
            if (run != null && run.mNumber <= end.run()) {
                mRuns.remove(end.task());
            }
        }
        return newEnds;
    }

    /** Discards all ends up to the given number, which the owner has stored. */
    void acknowledge(long number) {
        mHighestAcknowledged = Math.max(mHighestAcknowledged, number);
        mUnacknowledgedEnds.headMap(number, true).clear();
    }

    long highestReported() {
        return mHighestReported;
    }

    long highestAcknowledged() {
        return mHighestAcknowledged;
    }

    /** Returns the ends that the owner has not stored yet. */
    List<EndedRun> unacknowledged() {
        return List.copyOf(mUnacknowledgedEnds.values());
    }

    /** Run of a task, from its start order to its end. */
    static final class Run {
        final TaskName mTask;
        final long mNumber;
        final long mOrderedAtMillis;
        boolean mStarted;
        long mStartedAtMillis;

        /** Worker that the start was ordered from; null if the run is known from lists only. */
        WorkerId mOrderedFrom;

        /** Latest reading of that worker's clock when the start was ordered. */
        long mClockReadingMillis;

        /**
         * Time on that worker's clock after which the worker no longer carries out the start order.
         */
        long mDeadlineMillis = Long.MIN_VALUE;

        /** True once a stop was ordered; the order is repeated until the worker lists the end. */
        boolean mStopping;

        /** True once the call that passed on the start order has failed without an answer. */
        boolean mUnanswered;

        long mStopSentAtMillis;

        /**
         * Monotonic time in milliseconds since which lists have shown that the worker does not run
         * it, while its end may be among those that could not be read; {@link Long#MAX_VALUE} if
         * they have not.
         */
        private long mMissingSinceMillis = Long.MAX_VALUE;

        /**
         * Pressure, rank and latency objective of the run. A run that is known only from the
         * worker's list is neither throttled nor counted as serving until the owner describes it.
         */
        RunProfile mProfile = new RunProfile(0, 0, Duration.ZERO);

        int mPace = FillerPacer.FULL_PERCENT;
        private String mCheckpoint = "";
        private int mPercent;

        /**
         * Tail latency in milliseconds of a serving task, processor use in thousandths of a core of
         * any other task.
         */
        private long mMeasuredValue;

        Run(TaskName task, long number, long nowMillis) {
            mTask = task;
            mNumber = number;
            mOrderedAtMillis = nowMillis;
        }

        void markStarted(long nowMillis) {
            if (!mStarted) {
                mStarted = true;
                mStartedAtMillis = nowMillis;
            }
        }

        /** Records that the worker does not run it any more and will not start it. */
        void markMissing(long nowMillis) {
            mMissingSinceMillis = Math.min(mMissingSinceMillis, nowMillis);
        }

        /** Returns whether it has been missing for as long as an unread end is awaited. */
        boolean isMissing(long nowMillis) {
            return mMissingSinceMillis != Long.MAX_VALUE
                    && nowMillis - mMissingSinceMillis >= UnreadableEnds.MAX_HOLD_TIME.toMillis();
        }

        private void update(RunStatus row, long nowMillis) {
            mMissingSinceMillis = Long.MAX_VALUE;
            markStarted(nowMillis);
            mCheckpoint = row.checkpoint();
            mPercent = row.percent();
            mMeasuredValue = row.measuredValue();
        }

        /**
         * Returns the ratio of latency to objective; 0 unless the run is an active serving task.
         */
        double load() {
            Duration objective = mProfile.latencyObjective();
            boolean serving = !objective.isZero() && mPercent == FillerPacer.FULL_PERCENT;
            return serving ? (double) mMeasuredValue / objective.toMillis() : 0;
        }

        private RunStatus toStatus() {
            return new RunStatus(mTask, mNumber, mCheckpoint, mPercent, mMeasuredValue);
        }
    }
}
