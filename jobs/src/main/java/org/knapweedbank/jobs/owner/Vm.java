package org.knapweedbank.jobs.owner;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;

/** The owner's view of one VM: its worker, what runs there, and what has been acknowledged. */
final class Vm {
    /** Part of a serving task's reservation that counts as unused before its first figure. */
    private static final double UNUSED_BEFORE_FIGURES = 0.3;

    /** Part of a serving task's reservation that is left to it in case its load rises. */
    private static final double KEPT_FOR_RISE = 0.1;

    final DaemonId mAgent;
    final DataCentreId mDataCentre;
    final VmHealth mHealth = new VmHealth();
    final Map<TaskName, Attempt> mAttempts = new HashMap<>();

    /** Runs of jobs that this owner does not know; the VM takes nothing while there are any. */
    final Set<TaskName> mForeign = new HashSet<>();

    /** Tasks that are being stopped elsewhere to move here, and until when their room is kept. */
    private final Map<Task, Long> mClaims = new HashMap<>();

    private final Deque<PendingEnd> mPendingEnds = new ArrayDeque<>();
    WorkerInfo mWorker;
    boolean mConnected;

    /** True while the serving tasks of the VM move to others. */
    boolean mEmptying;

    /** Time of the last answer to the agent, from which its authority over leases runs. */
    long mAnsweredAt;

    /** Time before which nothing is ordered, after a refused start. */
    long mPausedUntil = Long.MIN_VALUE;

    /** True once the list of VMs in the store names this incarnation. */
    boolean mRegistered;

    long mLastEnd;
    long mAcknowledged;

    /** Newest figures of the VM; null before the first. */
    PressureEstimator.Sample mSample;

    Resources mReserved = Resources.NONE;
    long mFillerCpu;
    long mServingCpu;

    Vm(DaemonId agent, DataCentreId dataCentre) {
        mAgent = agent;
        mDataCentre = dataCentre;
    }

    /** Keeps room for a task that is being stopped elsewhere to move here. */
    void claim(Task task, long until) {
        mClaims.put(task, until);
    }

    void dropClaims(long now) {
        mClaims.values().removeIf(until -> until <= now);
    }

    boolean claimedBy(Task task) {
        return mClaims.containsKey(task);
    }

    /** Processor time kept for tasks that are about to move here, except for one. */
    long claimedByOthers(Task task) {
        return mClaims.keySet().stream()
                .filter(claimant -> claimant != task)
                .mapToLong(claimant -> claimant.mStep.mSpec.perTask().milliCpu())
                .sum();
    }

    boolean runs(WorkerId worker) {
        return mWorker != null && mWorker.id().equals(worker);
    }

    /** Forgets the counts of an earlier incarnation of the worker. */
    void reborn(WorkerInfo worker) {
        mWorker = worker;
        mRegistered = false;
        mPendingEnds.clear();
        mClaims.clear();
        mForeign.clear();
        mLastEnd = 0;
        mAcknowledged = 0;
        mHealth.succeeded();
        mSample = null;
    }

    Resources free() {
        return mWorker.capacity().minus(mReserved);
    }

    /** Processor time that neither reservations nor fillers ask for; negative when shared. */
    long spareCpu() {
        return mWorker.capacity().milliCpu() - mReserved.milliCpu() - mFillerCpu;
    }

    /** Highest utilization among the serving tasks, 0 if there is none. */
    double servingUtilization() {
        return mSample == null
                ? 0
                : mSample.utilization().values().stream()
                        .mapToDouble(Double::doubleValue)
                        .max()
                        .orElse(0);
    }

    /** Processor time that serving tasks reserve and, by their newest figures, do not use. */
    double unusedByServing() {
        return mAttempts.values().stream()
                .filter(attempt -> attempt.mTask.mStep.mSpec.serving())
                .mapToDouble(this::unused)
                .sum();
    }

    private double unused(Attempt attempt) {
        Double utilization =
                mSample == null ? null : mSample.utilization().get(attempt.mTask.mName.toString());
        double share =
                utilization == null
                        ? UNUSED_BEFORE_FIGURES
                        : Math.max(0, 1 - utilization - KEPT_FOR_RISE);
        return share * attempt.mTask.mStep.mSpec.perTask().milliCpu();
    }

    void add(Attempt attempt) {
        mAttempts.put(attempt.mTask.mName, attempt);
        mClaims.remove(attempt.mTask);
        account(attempt, 1);
    }

    void remove(Attempt attempt) {
        if (mAttempts.remove(attempt.mTask.mName, attempt)) {
            account(attempt, -1);
        }
    }

    long attemptsOf(Step step) {
        return mAttempts.values().stream().filter(a -> a.mTask.mStep == step).count();
    }

    /** Queues an end for acknowledgement once the given version of the job is stored. */
    void awaitStored(long number, Job job) {
        mPendingEnds.add(new PendingEnd(number, job, job == null ? 0 : job.version()));
    }

    /** Highest number up to which all ends are stored. */
    long acknowledgeable() {
        while (!mPendingEnds.isEmpty() && mPendingEnds.peek().stored()) {
            mAcknowledged = mPendingEnds.poll().mNumber;
        }
        return mAcknowledged;
    }

    private void account(Attempt attempt, int sign) {
        var spec = attempt.mTask.mStep.mSpec;
        mReserved =
                sign > 0 ? mReserved.plus(spec.reservation()) : mReserved.minus(spec.reservation());
        if (spec.traits().filler()) {
            mFillerCpu += sign * spec.perTask().milliCpu();
        }
        if (spec.serving()) {
            mServingCpu += sign * spec.perTask().milliCpu();
        }
    }

    private record PendingEnd(long mNumber, Job mJob, long mVersion) {
        boolean stored() {
            return mJob == null || mJob.storedVersion() >= mVersion;
        }
    }
}
