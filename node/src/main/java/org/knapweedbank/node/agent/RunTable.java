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
    private final TreeMap<Long, EndedTask> mEnds = new TreeMap<>();
    private long mAcknowledged;
    private long mReported;

    void clear() {
        mRuns.clear();
        mEnds.clear();
        mAcknowledged = 0;
        mReported = 0;
    }

    /** Notes a start order that was sent to the worker. */
    Run ordered(StartOrder order, long deadline, long now) {
        Run run = new Run(order.task(), order.run(), now);
        run.mDeadline = deadline;
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
        return mRuns.values().stream().filter(r -> r.mStarted).map(Run::row).toList();
    }

    List<RunningTask> starting() {
        return mRuns.values().stream().filter(r -> !r.mStarted).map(Run::row).toList();
    }

    /** Takes the running list of a reply to a request that was sent at the given time. */
    void list(List<RunningTask> rows, long requestedAt, long now) {
        Map<TaskName, RunningTask> listed = new HashMap<>();
        rows.forEach(row -> listed.put(row.task(), row));
        mRuns.values()
                .removeIf(
                        r ->
                                r.mStarted
                                        && r.mStartedAt < requestedAt
                                        && !listed.containsKey(r.mTask));
        for (RunningTask row : rows) {
            Run run = mRuns.get(row.task());
            if (run == null || run.mNumber < row.run()) {
                run = new Run(row.task(), row.run(), now);
                mRuns.put(row.task(), run);
            }
            if (run.mNumber == row.run()) {
                run.update(row, now);
            }
        }
    }

    /** Takes listed ends; returns those that are new. */
    List<EndedTask> ended(List<EndedTask> rows) {
        List<EndedTask> fresh = rows.stream().filter(e -> e.number() > mReported).toList();
        for (EndedTask end : fresh) {
            mReported = Math.max(mReported, end.number());
            mEnds.put(end.number(), end);
            Run run = mRuns.get(end.task());
            if (run != null && run.mNumber <= end.run()) {
                mRuns.remove(end.task());
            }
        }
        return fresh;
    }

    void acknowledge(long number) {
        mAcknowledged = Math.max(mAcknowledged, number);
        mEnds.headMap(number, true).clear();
    }

    long acknowledged() {
        return mAcknowledged;
    }

    List<EndedTask> unacknowledged() {
        return List.copyOf(mEnds.values());
    }

    /** One run, from its order to its end. */
    static final class Run {
        final TaskName mTask;
        final long mNumber;
        final long mOrderedAt;
        boolean mStarted;
        long mStartedAt;

        /** Time on the worker's clock after which the order can't be carried out any more. */
        long mDeadline = Long.MIN_VALUE;

        /** True once a stop was ordered; it is repeated until the end is listed. */
        boolean mStopping;

        /** True once the start order has certainly got no answer. */
        boolean mUnanswered;

        long mStopSentAt;

        /** How the run shares the VM; without an order or word of the owner it is left alone. */
        RunProfile mProfile = new RunProfile(0, 0, Duration.ZERO);

        int mPace = FillerPacer.FULL;
        private String mCheckpoint = "";
        private int mPercent;
        private long mFigure;

        Run(TaskName task, long number, long now) {
            mTask = task;
            mNumber = number;
            mOrderedAt = now;
        }

        void started(long now) {
            if (!mStarted) {
                mStarted = true;
                mStartedAt = now;
            }
        }

        private void update(RunningTask row, long now) {
            started(now);
            mCheckpoint = row.checkpoint();
            mPercent = row.percent();
            mFigure = row.figure();
        }

        /** Latency divided by objective; 0 unless the run serves and is at work. */
        double load() {
            Duration objective = mProfile.latencyObjective();
            boolean serving = !objective.isZero() && mPercent == FillerPacer.FULL;
            return serving ? (double) mFigure / objective.toMillis() : 0;
        }

        private RunningTask row() {
            return new RunningTask(mTask, mNumber, mCheckpoint, mPercent, mFigure);
        }
    }
}
