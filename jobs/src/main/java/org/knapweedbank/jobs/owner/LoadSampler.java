package org.knapweedbank.jobs.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.jobs.admission.PoolSample;
import org.knapweedbank.jobs.admission.QueuedWork;
import org.knapweedbank.jobs.admission.WorkKind;
import org.knapweedbank.jobs.admission.WorkPool;

/**
 * Collects the load of all pools at one moment. It walks all unfinished jobs, with plain loops
 * since it runs several times a second.
 */
final class LoadSampler {
    private final OwnerState mState;
    private final WaitingWork mWaitingWork;
    private final Map<WorkPool, Pool> mPools = new HashMap<>();

    LoadSampler(OwnerState state, WaitingWork waitingWork) {
        mState = state;
        mWaitingWork = waitingWork;
    }

    /**
     * Returns the load of each pool that has any.
     *
     * @param done work that was completed since the previous sample, in core-milliseconds
     */
    Map<WorkPool, PoolSample<JobUrgency>> sample(Map<WorkPool, Double> done) {
        mWaitingWork.starvedSteps().forEach(step -> pool(JobWork.pool(step)).mWaiting = true);
        mState.unfinishedJobs().forEach(this::add);
        done.forEach((pool, coreMillis) -> pool(pool).mDone = coreMillis);
        Map<WorkPool, PoolSample<JobUrgency>> samples = new HashMap<>();
        mPools.forEach(
                (pool, load) ->
                        samples.put(pool, new PoolSample<>(load.mWaiting, load.mDone, load.mWork)));
        return samples;
    }

    private void add(Job job) {
        double filler = 0;
        double reserved = 0;
        for (Occurrence occurrence : job.mOccurrences) {
            if (!occurrence.due(mState.mClock.wallTime())) {
                continue;
            }
            for (Step step : occurrence.mSteps) {
                if (step.complete() || !JobWork.isBatch(step)) {
                    continue;
                }
                double coreMillis = JobWork.remaining(step, mState.mRunTimeEstimator);
                if (JobWork.kind(step) == WorkKind.FILLER) {
                    filler += coreMillis;
                } else {
                    reserved += coreMillis;
                }
                if (step.mWaitingTasks > 0) {
                    Pool pool = pool(JobWork.pool(step));
                    // Jobs on idle room are always examined, to count them once they wait.
                    if ((!pool.mWaiting || job.mOnIdleRoom) && mWaitingWork.waits(step)) {
                        pool.mWaiting = true;
                        job.mOnIdleRoom = false;
                    }
                }
            }
        }
        if (job.mOnIdleRoom) {
            return;
        }
        add(job, WorkKind.FILLER, filler);
        add(job, WorkKind.RESERVED, reserved);
    }

    private void add(Job job, WorkKind kind, double coreMillis) {
        if (coreMillis > 0) {
            pool(new WorkPool(job.queue().service(), kind))
                    .mWork
                    .add(new QueuedWork<>(mState.urgency(job), coreMillis));
        }
    }

    private Pool pool(WorkPool pool) {
        return mPools.computeIfAbsent(pool, key -> new Pool());
    }

    /** Load of a pool as far as it has been collected. */
    private static final class Pool {
        private final List<QueuedWork<JobUrgency>> mWork = new ArrayList<>();
        private boolean mWaiting;
        private double mDone;
    }
}
