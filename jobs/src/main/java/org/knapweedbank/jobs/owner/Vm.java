package org.knapweedbank.jobs.owner;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedbank.jobs.OrderCoverage;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.time.Clock;

/**
 * The owner's view of one VM: its worker, its runs, its reserved resources and the ended runs that
 * have been acknowledged.
 */
final class Vm {
    /**
     * Share of a serving task's reservation that counts as unused before its first latency report.
     */
    private static final double DEFAULT_UNUSED_SHARE = 0.3;

    /** Share of a serving task's reservation that is kept free in case its load rises. */
    private static final double LOAD_RISE_SHARE = 0.1;

    private final Clock mClock;
    final DaemonId mAgent;
    final DataCentreId mDataCentre;
    final VmHealth mHealth;
    final VmRefusals mRefusals;
    final Map<TaskName, Run> mRuns = new HashMap<>();

    /**
     * Tasks that run on the VM but must not: tasks of unknown jobs and duplicate runs. The VM gets
     * no start orders while there are any.
     */
    final Set<TaskName> mUnwantedTasks = new HashSet<>();

    /**
     * Tasks that are being stopped on other VMs in order to move to this one, with the monotonic
     * time in milliseconds until which room is kept for them.
     */
    private final Map<Task, Long> mClaims = new HashMap<>();

    /** Room that is kept for waiting tasks, in the order of their urgency. */
    List<VmHold> mHolds = List.of();

    /** Ended runs that are not acknowledged yet, in the order of their numbers. */
    private final Deque<PendingEnd> mPendingEnds = new ArrayDeque<>();

    /** Current worker; null if the VM has none. */
    WorkerInfo mWorker;

    boolean mConnected;

    /** True while the serving tasks of the VM are moved to other VMs. */
    boolean mConsolidating;

    /**
     * Monotonic time in milliseconds of the last answer to the agent, from which the agent's
     * authority to renew leases is counted.
     */
    long mAuthorityGrantedAt;

    /**
     * Monotonic time in milliseconds at which the agent last asked for authority over the worker.
     */
    long mAuthorityRequestedAt;

    /** True while the agent states that the worker does not answer it. */
    boolean mWorkerSilent;

    /**
     * Monotonic time in milliseconds before which the worker may hold a longer lease than was
     * allowed, after it has started again under its identifier.
     */
    long mExcessLeaseUntil = Long.MIN_VALUE;

    /**
     * Monotonic time in milliseconds at which the newest lists of the worker's runs were received.
     * Repetitions of the same lists don't count.
     */
    long mListsReceivedAt = Long.MIN_VALUE / 2;

    /** Monotonic time in milliseconds after which these lists were requested. */
    private long mListsRequestedAfter = Long.MIN_VALUE;

    /** True once the stored VM list contains this incarnation of the worker. */
    boolean mListedInStore;

    /** Highest number of an ended run that has been handled. */
    long mLastEndNumber;

    /** Number up to which the effects of all ended runs are stored. */
    long mAcknowledgedEnd;

    /** Last utilization sample of the VM; null before the first. */
    private PressureEstimator.Sample mSample;

    /** Highest utilization of a serving task in the last sample, 0 if there is none. */
    private double mMaxServingUtilization;

    /** Fillers that were starved in the last list of the runs on the VM. */
    private List<Run> mStarvedFillers = List.of();

    /** Processor time that the fillers of each image request, in thousandths of a core. */
    private final Map<String, Long> mFillerMilliCpuByImage = new HashMap<>();

    /** Number of runs of each step. */
    private final Map<Step, Long> mRunsByStep = new HashMap<>();

    /**
     * Processor time that serving tasks reserve but do not use, in thousandths of a core; negative
     * if it has to be computed again.
     */
    private double mUnusedServingMilliCpu = -1;

    /** Sum of the reservations of all runs. */
    Resources mReserved = Resources.NONE;

    /** Processor time that the fillers request, in thousandths of a core. */
    long mFillerMilliCpu;

    /** Processor time that the serving tasks reserve, in thousandths of a core. */
    long mServingMilliCpu;

    Vm(DaemonId agent, DataCentreId dataCentre, Clock clock) {
        mAgent = agent;
        mDataCentre = dataCentre;
        mClock = clock;
        mHealth = new VmHealth(clock);
        mRefusals = new VmRefusals(clock);
    }

    /**
     * Keeps room for a task that is being stopped on another VM in order to move to this one.
     *
     * @param task the task
     * @param until monotonic time in milliseconds at which the claim expires
     */
    void claimRoom(Task task, long until) {
        mClaims.put(task, until);
    }

    void removeExpiredClaims(long now) {
        mClaims.values().removeIf(until -> until <= now);
    }

    boolean hasClaimOf(Task task) {
        return mClaims.containsKey(task);
    }

    /**
     * Returns the processor time that is kept for other tasks that move to this VM, in thousandths
     * of a core.
     *
     * @param task task whose own claim does not count
     */
    long milliCpuClaimedByOthers(Task task) {
        return milliCpuClaimed() - (hasClaimOf(task) ? task.mStep.mSpec.perTask().milliCpu() : 0);
    }

    /** Returns the processor time that moving tasks claim, in thousandths of a core. */
    long milliCpuClaimed() {
        if (mClaims.isEmpty()) {
            return 0;
        }
        return mClaims.keySet().stream()
                .mapToLong(task -> task.mStep.mSpec.perTask().milliCpu())
                .sum();
    }

    /** Returns the resources that are claimed by tasks that move to this VM. */
    Resources claimed() {
        return mClaims.keySet().stream()
                .map(task -> task.mStep.mSpec.reservation())
                .reduce(Resources.NONE, Resources::plus);
    }

    /** Returns whether the VM keeps room for more urgent tasks that a task would take. */
    boolean holdsRoomFromTask(Task task) {
        return !mHolds.isEmpty()
                && !hasClaimOf(task)
                && mHolds.stream().anyMatch(hold -> hold.excludes(task));
    }

    /**
     * Returns whether a task gets no order on the VM now, after orders have been refused there. The
     * first order of an overdue task does not wait for the backoff of the VM: while many tasks are
     * refused, it would be the turn of few of them in each interval.
     */
    boolean delaysRefusedOrder(Task task) {
        long now = mClock.monotonicMillis();
        boolean firstOrder = task.overdue(now) && !task.mRefusals.refusedBy(mAgent);
        return task.mRefusals.delayOrder(mAgent, now) || mRefusals.backsOff() && !firstOrder;
    }

    /**
     * Returns whether a task needs processor time that the other tasks leave. An overdue filler
     * does not wait for it, only for what it reserves: the time that is left is an estimate, and
     * the agent throttles the filler.
     */
    boolean needsSpareCpu(Task task) {
        return task.mStep.mSpec.traits().filler() && !task.overdue(mClock.monotonicMillis());
    }

    boolean hasWorker(WorkerId worker) {
        return mWorker != null && mWorker.id().equals(worker);
    }

    /** Sets a new incarnation of the worker and resets all state of the previous one. */
    void replaceWorker(WorkerInfo worker) {
        mWorker = worker;
        mListedInStore = false;
        mPendingEnds.clear();
        mClaims.clear();
        mHolds = List.of();
        mUnwantedTasks.clear();
        mLastEndNumber = 0;
        mAcknowledgedEnd = 0;
        mHealth.reset();
        mRefusals.reset();
        mStarvedFillers = List.of();
        setSample(null);
    }

    /**
     * Records that lists of the worker's runs have been received. An agent repeats the last lists
     * while its worker is silent; then the coverage does not advance.
     */
    void recordLists(OrderCoverage coverage, long now) {
        long requestedAfter =
                switch (coverage) {
                    case OrderCoverage.AllOrders all -> now;
                    case OrderCoverage.ListsRequestedAfter lists -> lists.requestedAfterMillis();
                    case OrderCoverage.NoOrders none -> Long.MIN_VALUE;
                };
        if (requestedAfter > mListsRequestedAfter) {
            mListsRequestedAfter = requestedAfter;
            mListsReceivedAt = now;
        }
    }

    /** Returns the last utilization sample of the VM; null before the first. */
    PressureEstimator.Sample sample() {
        return mSample;
    }

    void setSample(PressureEstimator.Sample sample) {
        mSample = sample;
        mUnusedServingMilliCpu = -1;
        mMaxServingUtilization =
                sample == null
                        ? 0
                        : sample.utilization().values().stream()
                                .mapToDouble(Double::doubleValue)
                                .max()
                                .orElse(0);
    }

    /** Returns the running fillers that were starved in the last list of the runs on the VM. */
    List<Run> starvedFillers() {
        return mStarvedFillers.stream().filter(run -> run.mTask.mRun == run).toList();
    }

    /** Collects the fillers that are starved, after the runs have been updated from a list. */
    void updateStarvedFillers() {
        mStarvedFillers =
                mRuns.values().stream()
                        .filter(run -> run.mStarvedReports > 0)
                        .filter(run -> run.mTask.mStep.mSpec.traits().filler())
                        .toList();
    }

    /** Returns the part of the capacity that is not reserved. */
    Resources unreserved() {
        return mWorker.capacity().minus(mReserved);
    }

    /**
     * Returns the processor time that is neither reserved nor requested by fillers, in thousandths
     * of a core; negative if fillers request more than is left.
     */
    long spareMilliCpu() {
        return mWorker.capacity().milliCpu() - mReserved.milliCpu() - mFillerMilliCpu;
    }

    /** Returns the highest utilization of a serving task, 0 if there is none. */
    double maxServingUtilization() {
        return mMaxServingUtilization;
    }

    /**
     * Returns the processor time that serving tasks reserve but, by the last sample, do not use, in
     * thousandths of a core.
     */
    double unusedServingMilliCpu() {
        if (mUnusedServingMilliCpu < 0) {
            mUnusedServingMilliCpu =
                    mRuns.values().stream()
                            .filter(run -> run.mTask.mStep.mSpec.serving())
                            .mapToDouble(this::unusedMilliCpu)
                            .sum();
        }
        return mUnusedServingMilliCpu;
    }

    /** Returns the processor time that the fillers of each image request. */
    Map<String, Long> fillerMilliCpuByImage() {
        return mFillerMilliCpuByImage;
    }

    private double unusedMilliCpu(Run run) {
        Double utilization =
                mSample == null ? null : mSample.utilization().get(run.mTask.mName.toString());
        double share =
                utilization == null
                        ? DEFAULT_UNUSED_SHARE
                        : Math.max(0, 1 - utilization - LOAD_RISE_SHARE);
        return share * run.mTask.mStep.mSpec.perTask().milliCpu();
    }

    void add(Run run) {
        mRuns.put(run.mTask.mName, run);
        mClaims.remove(run.mTask);
        updateTotals(run, 1);
    }

    void remove(Run run) {
        if (mRuns.remove(run.mTask.mName, run)) {
            updateTotals(run, -1);
        }
    }

    /** Returns the number of runs on the VM that belong to a step. */
    long countRuns(Step step) {
        return mRunsByStep.getOrDefault(step, 0L);
    }

    /**
     * Queues the end of a run for acknowledgement once the current version of its job is stored.
     *
     * @param number number of the ended run
     * @param job the job; null if the end changes no job
     */
    void acknowledgeOnceStored(long number, Job job) {
        mPendingEnds.add(new PendingEnd(number, job, job == null ? 0 : job.version()));
    }

    /**
     * Advances the acknowledged number over all ended runs whose effects are stored.
     *
     * @return number up to which the effects of all ended runs are stored
     */
    long advanceAcknowledgedEnd() {
        while (!mPendingEnds.isEmpty() && mPendingEnds.peek().stored()) {
            mAcknowledgedEnd = mPendingEnds.poll().mNumber;
        }
        return mAcknowledgedEnd;
    }

    /**
     * Adds the resources of a run to the totals of the VM, or subtracts them when the sign is -1.
     */
    private void updateTotals(Run run, int sign) {
        Step step = run.mTask.mStep;
        StepSpec spec = step.mSpec;
        mRunsByStep.merge(step, (long) sign, Vm::sumOrNone);
        mReserved =
                sign > 0 ? mReserved.plus(spec.reservation()) : mReserved.minus(spec.reservation());
        if (spec.traits().filler()) {
            long milliCpu = sign * spec.perTask().milliCpu();
            mFillerMilliCpu += milliCpu;
            mFillerMilliCpuByImage.merge(spec.image(), milliCpu, Vm::sumOrNone);
        }
        if (spec.serving()) {
            mServingMilliCpu += sign * spec.perTask().milliCpu();
            mUnusedServingMilliCpu = -1;
        }
    }

    /** Returns the sum, or null if it is zero, which removes the entry from its map. */
    private static Long sumOrNone(Long first, Long second) {
        long sum = first + second;
        return sum == 0 ? null : sum;
    }

    /** The end of a run that waits until a version of its job is stored. */
    private record PendingEnd(long mNumber, Job mJob, long mVersion) {
        boolean stored() {
            return mJob == null || mJob.storedVersion() >= mVersion;
        }
    }
}
