package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.QueueKey;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.time.Clock;

/** What the parts of the owner share. */
final class OwnerState {
    /** Marks a filler whose image does not disturb as one that may be paced all the same. */
    private static final double LEAST_PRESSURE = 0.005;

    /** Factor of pressure below which images count as equally harmless. */
    private static final double LEAST_FACTOR = 0.02;

    final OwnerSettings mSettings;
    final Clock mClock;
    final OwnerOutput mOutput;
    final DecisionLog mLog;

    /** Term of the ownership; each takeover raises it by one. */
    final long mTerm;

    final long mTakenOverAt;
    final PressureEstimator mPressure = new PressureEstimator();
    final RunTimeEstimator mRunTimes = new RunTimeEstimator();
    final Map<JobId, Job> mJobs = new LinkedHashMap<>();
    final Map<DaemonId, Vm> mVms = new HashMap<>();
    Map<QueueKey, JobQueue> mQueues = Map.of();
    Set<DataCentreId> mEvacuated = Set.of();

    /** When the view of configuration and evacuations was last known to be current. */
    long mViewAt = Long.MIN_VALUE / 2;

    /** When the store last confirmed the ownership. */
    long mConfirmedAt;

    OwnerState(
            OwnerSettings settings, Clock clock, OwnerOutput output, DecisionLog log, long term) {
        mSettings = settings;
        mClock = clock;
        mOutput = output;
        mLog = log;
        mTerm = term;
        mTakenOverAt = clock.monotonicMillis();
        mConfirmedAt = mTakenOverAt;
    }

    long now() {
        return mClock.monotonicMillis();
    }

    /** Finds a task; null if the job is unknown or has no such task. */
    Task task(TaskName name) {
        Job job = mJobs.get(name.job());
        if (job == null || name.occurrence() < 0 || name.occurrence() >= job.mOccurrences.size()) {
            return null;
        }
        Occurrence occurrence = job.mOccurrences.get(name.occurrence());
        if (name.step() < 0 || name.step() >= occurrence.mSteps.size()) {
            return null;
        }
        Step step = occurrence.mSteps.get(name.step());
        boolean known = name.index() >= 0 && name.index() < step.mTasks.size();
        return known ? step.mTasks.get(name.index()) : null;
    }

    /** How a run shares its VM with others. */
    RunProfile profile(Attempt attempt) {
        var spec = attempt.mTask.mStep.mSpec;
        if (!spec.traits().filler()) {
            return new RunProfile(0, 0, spec.latencyObjective());
        }
        double pressure = Math.max(LEAST_PRESSURE, mPressure.rise(spec, attempt.mVm));
        return new RunProfile(pressure, rank(attempt.mTask.mStep), spec.latencyObjective());
    }

    /**
     * Rank of a step's tasks among the fillers of a VM: what the caller gains for each unit by
     * which they disturb serving tasks.
     */
    double rank(Step step) {
        double gain = JobUrgency.of(step.mJob, mClock.wallTime(), mRunTimes).gain();
        return gain / Math.max(LEAST_FACTOR, mPressure.factor(step.mSpec.image()));
    }

    /** Tells whether the store has confirmed the ownership recently enough to act on it. */
    boolean confirmed() {
        return now() - mConfirmedAt <= mSettings.renewalAuthority().toMillis();
    }
}
