package org.knapweedbank.jobs.owner;

/** One run of a task on a VM, from its start order until it ends. */
final class Run {
    /**
     * Time after the start order during which the worker has no complete measurement of the run's
     * processor time, in milliseconds.
     */
    private static final long CPU_REPORT_DELAY_MILLIS = 600;

    /** Time in milliseconds within which a worker answers an order under usual load. */
    private static final long MAX_ANSWER_MILLIS = 1_000;

    final Task mTask;
    final Vm mVm;
    final long mNumber;

    /** Monotonic time in milliseconds at which the run was ordered or adopted. */
    final long mOrderedAt;

    /** True once the worker is known to have started the run. */
    boolean mStartConfirmed;

    /** True once the run has counted as evidence that the worker is sound. */
    boolean mCountedAsWorking;

    /**
     * Progress in percent from which the run began; -1 until its first list if it resumed from a
     * checkpoint.
     */
    int mInitialPercent;

    /** True if a former owner started the run, so that its run time is not known. */
    boolean mAdopted;

    /**
     * Monotonic time in milliseconds at which a list of the worker, or its answer to the start
     * order, last showed the run; at first the time of the start order.
     */
    private long mShownAt;

    /** True once a stop order has been sent. */
    boolean mStopping;

    /** Monotonic time in milliseconds of the first stop order. */
    private long mStopOrderedAt;

    /**
     * Share of the work that is done, in percent; 100 for a long-running task that serves requests.
     */
    int mProgressPercent;

    /** Newest checkpoint that the worker has reported; empty if there is none. */
    String mCheckpoint = "";

    /**
     * Monotonic time in milliseconds at which the run last made progress; at first the time of its
     * start order.
     */
    long mLastProgressAt;

    /**
     * Number of consecutive reports in which the run got less than half of its requested processor
     * time; used for fillers only.
     */
    int mStarvedReports;

    /** Rank among the fillers of the VM that was last sent to the agent. */
    double mReportedRank;

    /** Monotonic time in milliseconds of the worker's last report of the run's processor time. */
    private long mCpuReportedAt;

    /**
     * Processor time that the run requested while its worker had measurements for it, in
     * core-milliseconds.
     */
    private double mRequestedCoreMillis;

    /** Processor time that the run got during the same time, in core-milliseconds. */
    private double mUsedCoreMillis;

    /** Processor use that the worker reported last, in thousandths of a core. */
    private long mReportedMilliCpu;

    Run(Task task, Vm vm, long number, long now) {
        mTask = task;
        mVm = vm;
        mNumber = number;
        mOrderedAt = now;
        mShownAt = now;
        mLastProgressAt = now;
        mCpuReportedAt = now;
        mInitialPercent = task.mCheckpoint.isEmpty() ? 0 : -1;
    }

    /** Records when the worker has shown the run, in milliseconds of monotonic time. */
    void recordShown(long shownAt) {
        mShownAt = Math.max(mShownAt, shownAt);
    }

    /** Returns for how long the worker has not shown the run, in milliseconds. */
    long notShownMillis(long now) {
        return now - mShownAt;
    }

    /** Records that the first stop order is sent. */
    void recordStop(long now) {
        mStopping = true;
        mStopOrderedAt = now;
    }

    /** Returns the time since the first stop order in milliseconds, 0 if there is none. */
    long stoppingMillis(long now) {
        return mStopping ? now - mStopOrderedAt : 0;
    }

    /** Returns whether the run has not ended in the time in which a stop is answered. */
    boolean stopUnanswered(long now) {
        return stoppingMillis(now) > MAX_ANSWER_MILLIS;
    }

    /** Returns whether the worker has not shown a start in the time in which one is answered. */
    boolean startUnanswered(long now) {
        return !mStartConfirmed && now - mOrderedAt > MAX_ANSWER_MILLIS;
    }

    /** Returns whether the worker has shown the run, but not in its newest lists. */
    boolean absentFromLists() {
        return mStartConfirmed && mShownAt < mVm.mListsReceivedAt;
    }

    /** Records the first progress that the worker lists for the run. */
    void recordInitialPercent(int percent) {
        if (mInitialPercent < 0) {
            mInitialPercent = percent;
        }
    }

    /** Returns whether the run has made progress. */
    boolean works() {
        return mInitialPercent >= 0 && mProgressPercent > mInitialPercent;
    }

    /**
     * Records the processor use of a batch run.
     *
     * @param milliCpu processor use in thousandths of a core
     * @param now monotonic time of the report in milliseconds
     * @return processor time that the run has used since the previous report, in core-milliseconds
     */
    double recordCpuUse(long milliCpu, long now) {
        double usedCoreMillis = milliCpu * (now - mCpuReportedAt) / 1_000.0;
        if (now - mOrderedAt > CPU_REPORT_DELAY_MILLIS) {
            mUsedCoreMillis += usedCoreMillis;
            mRequestedCoreMillis +=
                    mTask.mStep.mSpec.perTask().milliCpu() * (now - mCpuReportedAt) / 1_000.0;
        }
        mCpuReportedAt = now;
        mReportedMilliCpu = milliCpu;
        return usedCoreMillis;
    }

    /**
     * Returns the time that the run would have taken at full speed: its elapsed time, scaled by the
     * share of the requested processor time that it got.
     *
     * @param now monotonic time in milliseconds at which the run ended
     * @return milliseconds
     */
    double fullSpeedMillis(long now) {
        return (now - mOrderedAt) * cpuShare();
    }

    /**
     * Returns the share of its requested processor time that the run got so far; 1 before the first
     * measurement.
     */
    double cpuShare() {
        return mRequestedCoreMillis > 0 ? Math.min(1, mUsedCoreMillis / mRequestedCoreMillis) : 1;
    }

    /** Returns the processor use that the worker reported last, in thousandths of a core. */
    long reportedMilliCpu() {
        return mReportedMilliCpu;
    }
}
