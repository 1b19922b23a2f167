package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knapweedbank.jobs.EndedTask;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;

/** What the agent knows of the runs on its worker. */
final class RunTable {
    private final Map<TaskName, Run> mRuns = new HashMap<>();
    private final TreeMap<Long, EndedTask> mUnacknowledgedEnds = new TreeMap<>();
    private long mHighestAcknowledged;
    private long mHighestReported;

    void clear() {
        mRuns.clear();
        mUnacknowledgedEnds.clear();
        mHighestAcknowledged = 0;
        mHighestReported = 0;
    }

    /** Notes a start order that was sent to the worker. */
    Run addOrdered(StartOrder order, long deadlineMillis, long nowMillis) {
        Run run = new Run(order.task(), order.run(), nowMillis);
        run.mDeadlineMillis = deadlineMillis;
        run.mProfile = order.profile();
        mRuns.put(order.task(), run);
        return run;
    }

    Run find(TaskName task, long number) {
        Run run = mRuns.get(task);
        return run != null && run.mNumber == number ? run : null;
    }

    void remove(Run run) {
        mRuns.remove(run.mTask, run);
    }

    Collection<Run> runs() {
        return mRuns.values();
    }

    List<RunningTask> running() {
        return mRuns.values().stream().filter(run -> run.mStarted).map(Run::toRunningTask).toList();
    }

    List<RunningTask> starting() {
        return mRuns.values().stream()
                .filter(run -> !run.mStarted)
                .map(Run::toRunningTask)
                .toList();
    }

    /** Takes the running list of a reply to a request that was sent at the given time. */
    void updateRunning(List<RunningTask> rows, long requestedAtMillis, long nowMillis) {
        Map<TaskName, RunningTask> listed = new HashMap<>();
        rows.forEach(row -> listed.put(row.task(), row));
        mRuns.values()
                .removeIf(
                        run ->
                                run.mStarted
                                        && run.mStartedAtMillis < requestedAtMillis
                                        && !listed.containsKey(run.mTask));
        for (RunningTask row : rows) {
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

    /** Takes listed ends; returns those that are new. */
    List<EndedTask> addEnds(List<EndedTask> rows) {
        List<EndedTask> fresh =
                rows.stream().filter(end -> end.number() > mHighestReported).toList();
        for (EndedTask end : fresh) {
            mHighestReported = Math.max(mHighestReported, end.number());
            mUnacknowledgedEnds.put(end.number(), end);
            Run run = mRuns.get(end.task());
            if (run != null && run.mNumber <= end.run()) {
                mRuns.remove(end.task());
            }
        }
        return fresh;
    }

    void acknowledge(long number) {
        mHighestAcknowledged = Math.max(mHighestAcknowledged, number);
        mUnacknowledgedEnds.headMap(number, true).clear();
    }

    long highestAcknowledged() {
        return mHighestAcknowledged;
    }

    List<EndedTask> unacknowledged() {
        return List.copyOf(mUnacknowledgedEnds.values());
    }

    /** One run, from its order to its end. */
    static final class Run {
        final TaskName mTask;
        final long mNumber;
        final long mOrderedAtMillis;
        boolean mStarted;
        long mStartedAtMillis;

        /** Time on the worker's clock after which the order can't be carried out any more. */
        long mDeadlineMillis = Long.MIN_VALUE;

        /** True once a stop was ordered; it is repeated until the end is listed. */
        boolean mStopping;

        /** True once the start order has certainly got no answer. */
        boolean mUnanswered;

        long mStopSentAtMillis;

        /** How the run shares the VM; without an order or word of the owner it is left alone. */
        RunProfile mProfile = new RunProfile(0, 0, Duration.ZERO);

        int mPace = FillerPacer.FULL_PERCENT;
        private String mCheckpoint = "";
        private int mPercent;
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

        private void update(RunningTask row, long nowMillis) {
            markStarted(nowMillis);
            mCheckpoint = row.checkpoint();
            mPercent = row.percent();
            mMeasuredValue = row.figure();
        }

        /** Latency divided by objective; 0 unless the run serves and is at work. */
        double load() {
            Duration objective = mProfile.latencyObjective();
            boolean serving = !objective.isZero() && mPercent == FillerPacer.FULL_PERCENT;
            return serving ? (double) mMeasuredValue / objective.toMillis() : 0;
        }

        private RunningTask toRunningTask() {
            return new RunningTask(mTask, mNumber, mCheckpoint, mPercent, mMeasuredValue);
        }
    }
}
