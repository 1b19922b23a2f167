package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.knapweedbank.jobs.admission.AdmissionController;
import org.knapweedbank.jobs.admission.AdmissionDecision;
import org.knapweedbank.jobs.admission.AdmissionSettings;
import org.knapweedbank.jobs.admission.JobDemand;
import org.knapweedbank.jobs.admission.PoolSample;
import org.knapweedbank.jobs.admission.WorkKind;
import org.knapweedbank.jobs.admission.WorkPool;
import org.knapweedbank.time.Timestamp;

/** Decides about new jobs from the state of the owner. */
final class AdmissionGate {
    /**
     * Interval between two samples of the load, in milliseconds. A sample walks all unfinished jobs
     * and all runs, which is too much for each round. Agents report progress at the same interval.
     */
    private static final long SAMPLE_INTERVAL_MILLIS = 500;

    /**
     * Time between two rounds from which the owner counts as paused, in milliseconds. A round takes
     * place at least every few hundred milliseconds.
     */
    private static final long MAX_ROUND_GAP_MILLIS = 1_000;

    private final OwnerState mState;
    private final WorkMeasurement mMeasurement;
    private final AdmissionController<JobUrgency> mController;
    private final QueueOverloads mOverloads;
    private final IdleRoom mIdleRoom;

    /** Whether work of any pool waited at the last sample; otherwise no job is refused. */
    private boolean mWorkWaits;

    private Timestamp mLastRound = Timestamp.NEVER;
    private long mNextSampleAt;

    /**
     * Creates the gate for a new term.
     *
     * @param trustedVms gives the VMs that may get start orders now and are not suspected to fail
     *     them
     */
    AdmissionGate(OwnerState state, AdmissionSettings settings, Supplier<List<Vm>> trustedVms) {
        mState = state;
        mMeasurement = new WorkMeasurement(state);
        mController =
                new AdmissionController<>(
                        settings, state.mTakenOverAt, state.mClock::monotonicNanos);
        mOverloads = new QueueOverloads(state.mLog);
        mIdleRoom = new IdleRoom(state, trustedVms);
        state.mOnTaskDone = mMeasurement::taskDone;
    }

    /**
     * Samples the load after a round of placement, when all that could start has been started.
     *
     * @param mayStart whether tasks could be started in the round
     * @param loadedJobsWait whether jobs of the former owner are not started yet
     */
    void roundEnded(boolean mayStart, boolean loadedJobsWait) {
        boolean paused = isPaused();
        mLastRound = Timestamp.now(mState.mClock);
        if (paused || !mayStart) {
            mMeasurement.take();
            mController.interrupt();
        } else if (mState.now() >= mNextSampleAt) {
            mNextSampleAt = mState.now() + SAMPLE_INTERVAL_MILLIS;
            sampleSafely(new WaitingWork(mState, loadedJobsWait));
        }
        updateIdleRoom();
    }

    /** Notes the room that is free after a round; without waiting work it is not needed. */
    private void updateIdleRoom() {
        if (!mWorkWaits) {
            mIdleRoom.clear();
            return;
        }
        try {
            mIdleRoom.handleRound();
        } catch (RuntimeException e) {
            handleFailure(e);
        }
    }

    /**
     * Samples the load; a failure must not keep the owner from writing the records of the round.
     * The samples before it are dropped, since its work is unknown.
     */
    private void sampleSafely(WaitingWork waitingWork) {
        try {
            LoadSampler sampler = new LoadSampler(mState, waitingWork);
            Map<WorkPool, PoolSample<JobUrgency>> samples = sampler.sample(mMeasurement.take());
            mWorkWaits = samples.values().stream().anyMatch(PoolSample::waiting);
            mController.sample(mState.now(), samples);
            mOverloads.update(mState.now());
        } catch (RuntimeException e) {
            handleFailure(e);
        }
    }

    private void handleFailure(RuntimeException cause) {
        mState.mLog.record("admission.sample_failed", "owner", "cause", cause);
        mWorkWaits = false;
        mIdleRoom.clear();
        mController.interrupt();
    }

    /** Returns whether the last round is so long ago that the load may have changed since. */
    private boolean isPaused() {
        return mLastRound.ageMillis(mState.mClock) > MAX_ROUND_GAP_MILLIS;
    }

    /**
     * Decides about a new job that the owner does not know.
     *
     * @return the refusal; empty if the job is admitted
     */
    Optional<SubmitResult.Overloaded> refusal(Job job) {
        Optional<SubmitResult.Overloaded> refusal = isJudged(job) ? judge(job) : Optional.empty();
        if (refusal.isEmpty()) {
            mIdleRoom.handleAdmitted(job);
        }
        return refusal;
    }

    private Optional<SubmitResult.Overloaded> judge(Job job) {
        if (isPaused()) {
            // Calls may be handled before the first round after a pause.
            mController.interrupt();
        }
        JobDemand<JobUrgency> demand = demand(job);
        return switch (mController.decide(
                demand, mState.now(), () -> mIdleRoom.fit(job, demand.pool().kind()))) {
            case AdmissionDecision.Admit admit -> {
                job.mOnIdleRoom = !admit.queued();
                yield Optional.empty();
            }
            case AdmissionDecision.Refuse refuse -> Optional.of(refuse(job, refuse));
        };
    }

    /**
     * Returns whether a job may be refused. While a later owner may act, it may have accepted a job
     * with the same identifier, so the refusal could be wrong; the write of an admitted job shows
     * whether there is a later owner.
     */
    private boolean isJudged(Job job) {
        return mState.ownershipConfirmed()
                && !job.submission().timetable().hasDueTimes()
                && job.steps().allMatch(JobWork::isBatch);
    }

    private JobDemand<JobUrgency> demand(Job job) {
        RunTimeEstimator estimator = mState.mRunTimeEstimator;
        WorkKind kind = JobWork.mainKind(job, estimator);
        Duration objective = JobUrgency.objective(job, estimator);
        return new JobDemand<>(
                job.id(),
                new WorkPool(job.queue().service(), kind),
                mState.urgency(job),
                JobWork.total(job, kind, estimator),
                JobUrgency.remainingCriticalPath(job, estimator),
                objective,
                objective.multipliedBy(JobUrgency.LATE_LIMIT_FACTOR));
    }

    private SubmitResult.Overloaded refuse(Job job, AdmissionDecision.Refuse refuse) {
        mOverloads.refused(job.queue().key(), mState.now());
        mState.mLog.record(
                "admission.refused",
                job.id().value(),
                "queue",
                job.queue().key().toString(),
                "expected_end_ms",
                refuse.expectedEnd().toMillis(),
                "limit_ms",
                refuse.limit().toMillis(),
                "work_before_core_ms",
                Math.round(refuse.workBefore()),
                "rate_milli_cpu",
                Math.round(refuse.rate() * 1_000),
                "retry_after_ms",
                refuse.retryAfter().toMillis());
        mState.mLog.count("admission_refused", Integer.toString(job.queue().priority()), 1);
        return new SubmitResult.Overloaded(refuse.reason(), refuse.retryAfter());
    }
}
