package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.QueueKey;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.Timestamp;

/** State that the components of the job owner share. */
final class OwnerState {
    /**
     * Lowest pressure that is sent to an agent for a filler. It is above 0, because 0 tells the
     * agent not to throttle the task.
     */
    private static final double MIN_PRESSURE = 0.005;

    /** Pressure factor up to which images count as equally harmless when fillers are ranked. */
    private static final double MIN_PRESSURE_FACTOR = 0.02;

    final OwnerSettings mSettings;
    final Clock mClock;
    final OwnerOutput mOutput;
    final DecisionLog mLog;

    /** Number of the ownership term; each takeover raises it by one. */
    final long mTerm;

    /** Monotonic time in milliseconds at which this owner took over. */
    final long mTakenOverAt;

    final PressureEstimator mPressureEstimator = new PressureEstimator();
    final RunTimeEstimator mRunTimeEstimator = new RunTimeEstimator();

    /** Accuracy of the expected run times; only used for reservations. */
    final RunTimeAccuracy mRunTimeAccuracy = new RunTimeAccuracy();

    /** All known jobs, in the order in which they were accepted or loaded. */
    private final Map<JobId, Job> mJobs = new LinkedHashMap<>();

    /**
     * Jobs that are not known to be finished, in the same order. Most known jobs are finished and
     * only kept for queries, so the scheduler walks these instead.
     */
    private final Set<Job> mUnfinishedJobs = new LinkedHashSet<>();

    /** VMs that have reported to this owner, by their agent. */
    final Map<DaemonId, Vm> mVms = new HashMap<>();

    /** Receives each task of a batch step when it is done. */
    Consumer<Task> mOnTaskDone = task -> {};

    Map<QueueKey, JobQueue> mQueues = Map.of();
    Set<DataCentreId> mEvacuatedDataCentres = Set.of();

    /**
     * Moment at which the configuration and the evacuated data centres were last known to match the
     * store.
     */
    Timestamp mViewCurrentAt = Timestamp.NEVER;

    /** Latest moment at which no later term is known to have begun. */
    private Timestamp mConfirmedAt;

    /** Latest moment at which the store has shown that, together with all entries. */
    private Timestamp mEntriesReadAt = Timestamp.NEVER;

    OwnerState(
            OwnerSettings settings,
            Clock clock,
            OwnerOutput output,
            DecisionLog log,
            Takeover takeover) {
        mSettings = settings;
        mClock = clock;
        mOutput = output;
        mLog = log;
        mTerm = takeover.term();
        mTakenOverAt = clock.monotonicMillis();
        mConfirmedAt = takeover.claimedAt();
    }

    /** Returns the monotonic time in milliseconds. */
    long now() {
        return mClock.monotonicMillis();
    }

    /** Returns whether room on VMs is reserved for waiting tasks. */
    boolean reservesRoom() {
        return mSettings.scheduling().reservations().enabled();
    }

    void addJob(Job job) {
        mJobs.put(job.id(), job);
        mUnfinishedJobs.add(job);
    }

    void removeJob(Job job) {
        mJobs.remove(job.id(), job);
        mUnfinishedJobs.remove(job);
    }

    /** Returns a job; null if it is unknown. */
    Job findJob(JobId id) {
        return mJobs.get(id);
    }

    /** Returns all known jobs, in the order in which they were accepted or loaded. */
    Collection<Job> jobs() {
        return Collections.unmodifiableCollection(mJobs.values());
    }

    /** Returns the jobs that are not finished, in the order of {@link #jobs()}. */
    Collection<Job> unfinishedJobs() {
        mUnfinishedJobs.removeIf(Job::finished);
        return Collections.unmodifiableCollection(mUnfinishedJobs);
    }

    /** Returns the steps of unfinished jobs with tasks that wait for nothing but a VM. */
    Stream<Step> readySteps() {
        Instant now = mClock.wallTime();
        return unfinishedJobs().stream().flatMap(job -> job.readySteps(now));
    }

    /**
     * Returns a task; null if the job is unknown, has no such task or was loaded without its tasks.
     */
    Task findTask(TaskName name) {
        Job job = findJob(name.job());
        if (job == null
                || job.mWithoutTasks
                || name.occurrence() < 0
                || name.occurrence() >= job.mOccurrences.size()) {
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

    /**
     * Returns how a run shares its VM with other runs: the parameters by which the agent throttles
     * fillers.
     */
    RunProfile runProfile(Run run) {
        var spec = run.mTask.mStep.mSpec;
        if (!spec.traits().filler()) {
            return new RunProfile(0, 0, spec.latencyObjective());
        }
        double pressure = Math.max(MIN_PRESSURE, mPressureEstimator.expectedRise(spec, run.mVm));
        return new RunProfile(pressure, fillerRank(run.mTask.mStep), spec.latencyObjective());
    }

    /**
     * Returns the rank of a step's tasks among the fillers of a VM: the value density of the job,
     * divided by the interference that its image causes for serving tasks.
     */
    double fillerRank(Step step) {
        return urgency(step.mJob).valueDensity()
                / Math.max(MIN_PRESSURE_FACTOR, mPressureEstimator.factor(step.mSpec.image()));
    }

    /** Returns the urgency of a job, which is computed again after a change or a short time. */
    JobUrgency urgency(Job job) {
        return job.urgency(now(), () -> JobUrgency.of(job, mClock.wallTime(), mRunTimeEstimator));
    }

    /** Returns the rank of a task among the waiting ones. */
    PlacementRank rank(Task task) {
        return PlacementRank.of(task, urgency(task.mStep.mJob), now());
    }

    /** Records that no later term had begun when a write was sent to the store. */
    void confirmByWrite(Timestamp sentAt) {
        mConfirmedAt = later(mConfirmedAt, sentAt);
    }

    /**
     * Records that no later term had begun when the store was asked at the given moment, and that
     * it has shown all entries that were registered then.
     */
    void confirmByStore(Timestamp askedAt) {
        mEntriesReadAt = later(mEntriesReadAt, askedAt);
        mConfirmedAt = later(mConfirmedAt, askedAt);
    }

    /**
     * Records that no other entry had begun a later term when all were asked at the given moment.
     * After a long silence of the store this proves nothing, as entries may have started that this
     * owner has not heard of.
     */
    void confirmByEntries(Timestamp askedAt) {
        if (mEntriesReadAt.ageMillis(mClock) <= mSettings.maxStoreSilence().toMillis()) {
            mConfirmedAt = later(mConfirmedAt, askedAt);
        }
    }

    private Timestamp later(Timestamp first, Timestamp second) {
        return first.ageMillis(mClock) <= second.ageMillis(mClock) ? first : second;
    }

    /** Returns whether the store has shown the term recently. */
    boolean storeAnswers() {
        return mEntriesReadAt.ageMillis(mClock) <= mSettings.renewalAuthority().toMillis();
    }

    /** Returns the time since the latest moment at which no later term is known to have begun. */
    Duration confirmationAge() {
        return Duration.ofMillis(mConfirmedAt.ageMillis(mClock));
    }

    /** Returns whether the ownership has been confirmed recently enough to act as owner. */
    boolean ownershipConfirmed() {
        return confirmationAge().compareTo(mSettings.renewalAuthority()) <= 0;
    }
}
