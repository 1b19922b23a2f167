package org.knapweedbank.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.interference.InterferenceController;
import org.knapweedbank.scheduling.interference.InterferencePenalties;
import org.knapweedbank.scheduling.placement.CapacityLedger;
import org.knapweedbank.scheduling.placement.TaskAllocation;
import org.knapweedbank.scheduling.placement.UsageEstimates;
import org.knapweedbank.scheduling.placement.VmSelector;
import org.knapweedbank.scheduling.placement.VmState;
import org.knapweedbank.scheduling.quarantine.QuarantineTracker;
import org.knapweedbank.scheduling.quota.PendingQueues;
import org.knapweedbank.scheduling.quota.Reservation;
import org.knapweedbank.scheduling.quota.ShapeQueue;
import org.knapweedbank.scheduling.quota.VictimSelector;
import org.knapweedbank.time.Clock;

/**
 * Scheduler of one partition. Combines the pending queues, the capacity ledger and the selection of
 * VMs and preemption victims with learned resource usage, interference penalties and the health of
 * VMs.
 */
public final class PartitionScheduler implements TaskScheduler {
    /**
     * Maximum number of VMs on which victims are preempted for one urgent task; bounds the work
     * that is interrupted.
     */
    private static final int MAX_PREEMPTION_ROUNDS = 2;

    /**
     * Maximum number of shapes without a VM that are processed in one call; bounds the duration of
     * a call after many jobs have been submitted at once.
     */
    private static final int MAX_UNPLACED_SHAPES = 4_000;

    /** Maximum number of blocked urgent shapes that are retried in each call. */
    private static final int MAX_URGENT_RETRIES = 64;

    /**
     * Minimum interval between two reevaluations of all blocked tasks after usage estimates have
     * changed.
     */
    private static final long REEVALUATION_INTERVAL_NANOS = 5_000_000_000L;

    /** Available capacity reported for a VM that accepts no tasks; no request fits into it. */
    private static final Resources NO_CAPACITY = new Resources(-1, -1, -1);

    private final SchedulerSettings mSettings;
    private final Clock mClock;
    private final CapacityLedger mLedger;
    private final PendingQueues mQueues;
    private final VmSelector mVmSelector;
    private final VictimSelector mVictimSelector;
    private final UsageEstimates mUsageEstimates = new UsageEstimates();
    private final InterferencePenalties mInterferencePenalties;
    private final InterferenceController mInterferenceController;
    private final QuarantineTracker mQuarantineTracker;
    private final WaitExplainer mWaitExplainer;
    private final Map<TaskId, Reservation> mReservations = new LinkedHashMap<>();

    /**
     * Tasks that were enqueued again while their previous attempt still holds resources. They enter
     * the pending queue when these resources are released.
     */
    private final Map<TaskId, PendingTask> mAwaitingRelease = new HashMap<>();

    /** VMs whose available capacity has grown since blocked shapes were last matched against it. */
    private final Set<VmState> mVmsWithCapacityGain = new LinkedHashSet<>();

    /**
     * Resource requests that no VM could hold when last tried. A request is removed when a VM gains
     * enough available capacity for it.
     */
    private final Set<Resources> mNeedsWithoutCapacity = new HashSet<>();

    private boolean mAllVmsRegistered = true;
    private boolean mUsageEstimatesChanged;
    private long mReevaluatedNanos;

    /**
     * Creates a scheduler without VMs and tasks.
     *
     * @param settings the settings
     * @param clock source of time
     * @param random source of random numbers
     */
    public PartitionScheduler(
            SchedulerSettings settings, Clock clock, UniformRandomProvider random) {
        mSettings = settings;
        mClock = clock;
        mInterferencePenalties = new InterferencePenalties(clock);
        InterferencePenalties penalties = mInterferencePenalties;
        mInterferenceController = new InterferenceController(clock, penalties);
        mQuarantineTracker = new QuarantineTracker(clock, random);
        mLedger =
                new CapacityLedger(
                        clock,
                        penalties,
                        settings.capacityRetention().toNanos(),
                        this::noteCapacityGain);
        mQueues = new PendingQueues(clock, settings.shareMode());
        mVmSelector = new VmSelector(mLedger, penalties, this::recentlyFailedOn);
        mVictimSelector =
                new VictimSelector(mLedger, team -> mQueues.team(team).overQuota(), clock);
        mWaitExplainer = new WaitExplainer(mLedger, mQueues);
    }

    @Override
    public void putVm(VmDescription vm) {
        mLedger.putVm(vm);
        mLedger.setQuarantined(vm.id(), !mQuarantineTracker.takesTasks(vm.id()));
        mQueues.setTotalCapacity(mLedger.catalog().total());
    }

    @Override
    public void removeVm(VmId vm) {
        mQuarantineTracker.removeVm(vm);
        mInterferenceController.removeVm(vm);
        mLedger.removeVm(vm);
        mQueues.setTotalCapacity(mLedger.catalog().total());
    }

    @Override
    public void setSchedulable(VmId vm, boolean schedulable) {
        mLedger.setSchedulable(vm, schedulable);
    }

    @Override
    public void setOutOfServiceDataCentres(Set<DataCentreId> outOfService) {
        mLedger.setOutOfServiceDataCentres(outOfService);
    }

    @Override
    public void setAllVmsRegistered(boolean complete) {
        mAllVmsRegistered = complete;
        mQueues.unblockIf((task, need) -> !fitsSomeVm(need));
    }

    @Override
    public void setQuotas(Map<String, TeamQuota> quotas) {
        mQueues.setQuotas(quotas);
    }

    @Override
    public void enqueue(PendingTask task) {
        dequeue(task.id());
        if (mLedger.find(task.id()) != null) {
            mAwaitingRelease.put(task.id(), task);
        } else {
            mQueues.add(task);
        }
    }

    @Override
    public void dequeue(TaskId task) {
        mAwaitingRelease.remove(task);
        mQueues.remove(task);
        Reservation reservation = mReservations.remove(task);
        if (reservation != null) {
            mLedger.withdrawPreemptorReservation(reservation.vm(), reservation.need());
        }
    }

    @Override
    public void adopt(PendingTask task, VmId vm) {
        adopt(task, vm, task.resources());
    }

    @Override
    public void adopt(PendingTask task, VmId vm, Resources reserved) {
        release(task.id());
        dequeue(task.id());
        allocate(task, vm, reserved);
    }

    private void allocate(PendingTask task, VmId vm, Resources reserved) {
        mLedger.allocate(task, vm, reserved);
        mQueues.addAllocated(task.team(), reserved);
    }

    @Override
    public void release(TaskId task) {
        TaskAllocation allocation = mLedger.release(task);
        if (allocation != null) {
            mQueues.addAllocated(
                    allocation.task().team(), Resources.NONE.minus(allocation.reserved()));
            PendingTask awaitingRelease = mAwaitingRelease.remove(task);
            if (awaitingRelease != null) {
                mQueues.add(awaitingRelease);
            }
        }
    }

    private void noteCapacityGain(VmState vm) {
        if (vm.placeable()) {
            Resources available = vm.available();
            mVmsWithCapacityGain.add(vm);
            mNeedsWithoutCapacity.removeIf(need -> need.fitsIn(available));
            mReservations.values().forEach(reservation -> reservation.noteCapacityGain(vm));
        }
    }

    @Override
    public List<SchedulingDecision> schedule(int limit) {
        List<SchedulingDecision> decisions = new ArrayList<>();
        mQuarantineTracker.applyDueTransitions().forEach(this::updateQuarantine);
        processReservations(decisions, limit);
        reevaluateBlockedTasks();
        mQueues.unblockUrgent(MAX_URGENT_RETRIES);
        unblockForCapacityGains();
        int unplacedShapes = 0;
        while (decisions.size() < limit && unplacedShapes < MAX_UNPLACED_SHAPES) {
            ShapeQueue shape = mQueues.nextShape();
            if (shape == null && !unblockForCapacityGains()) {
                break;
            }
            if (shape != null && !scheduleFirstTask(shape, decisions)) {
                unplacedShapes++;
            }
        }
        return decisions;
    }

    /**
     * Unblocks shapes whose required resources have changed, and those that no longer fit on any
     * known VM, so that they can be rejected.
     */
    private void reevaluateBlockedTasks() {
        long now = mClock.monotonicNanos();
        boolean reevaluationDue =
                mUsageEstimatesChanged && now - mReevaluatedNanos >= REEVALUATION_INTERVAL_NANOS;
        if (mLedger.catalog().removeExpired(now) || reevaluationDue) {
            mUsageEstimatesChanged = false;
            mReevaluatedNanos = now;
            mQueues.unblockIf(
                    (task, need) -> !requiredResources(task).equals(need) || !fitsSomeVm(need));
        }
    }

    /**
     * Unblocks shapes that fit on the VMs whose available capacity has grown. Returns false if no
     * shape was unblocked.
     */
    private boolean unblockForCapacityGains() {
        if (mVmsWithCapacityGain.isEmpty()) {
            return false;
        }
        Iterator<VmState> vms = mVmsWithCapacityGain.iterator();
        return mQueues.unblockFitting(
                new Iterator<>() {
                    @Override
                    public boolean hasNext() {
                        return vms.hasNext();
                    }

                    @Override
                    public Resources next() {
                        VmState vm = vms.next();
                        return vm.placeable() ? vm.available() : NO_CAPACITY;
                    }

                    @Override
                    public void remove() {
                        vms.remove();
                    }
                });
    }

    /**
     * Schedules the first task of a shape. Returns false if no VM can hold the task now, after
     * blocking the shape.
     */
    private boolean scheduleFirstTask(ShapeQueue shape, List<SchedulingDecision> decisions) {
        PendingTask task = shape.firstTask();
        Resources need = requiredResources(task);
        VmState vm = mNeedsWithoutCapacity.contains(need) ? null : mVmSelector.select(task, need);
        if (vm != null) {
            mQueues.remove(task.id());
            place(task, vm, need, decisions);
        } else if (mAllVmsRegistered && !fitsSomeVm(need)) {
            mQueues.remove(task.id());
            decisions.add(
                    new SchedulingDecision.NeverFits(task, mWaitExplainer.explainNeverFits(task)));
        } else if (!shape.urgent() || !preempt(task, need, null, 1, decisions)) {
            mNeedsWithoutCapacity.add(need);
            mQueues.block(shape, need);
            return false;
        }
        return true;
    }

    /**
     * Returns the resources to reserve for a task: those corrected by the usage of its class, or
     * the declared ones if the corrected ones fit on no VM.
     */
    private Resources requiredResources(PendingTask task) {
        Resources corrected =
                mUsageEstimates.resourcesToReserve(task.taskClass(), task.resources());
        return corrected.equals(task.resources()) || fitsSomeVm(corrected)
                ? corrected
                : task.resources();
    }

    private boolean fitsSomeVm(Resources need) {
        return mLedger.catalog().fitsSomeVm(need);
    }

    private void place(
            PendingTask task, VmState vm, Resources need, List<SchedulingDecision> decisions) {
        allocate(task, vm.id(), need);
        if (mQuarantineTracker.recordPlacement(vm.id())) {
            updateQuarantine(vm.id());
        }
        decisions.add(new SchedulingDecision.Place(task, vm.id(), need));
    }

    private boolean preempt(
            PendingTask task,
            Resources need,
            VmState excluded,
            int round,
            List<SchedulingDecision> decisions) {
        VictimSelector.Selection selection = mVictimSelector.select(need, excluded);
        if (selection == null) {
            return false;
        }
        mQueues.remove(task.id());
        mLedger.reserveForPreemptor(selection.vm(), need);
        mReservations.put(
                task.id(),
                new Reservation(task, need, selection.vm(), mClock.monotonicNanos(), round));
        for (TaskAllocation victim : selection.victims()) {
            mLedger.markEnding(victim);
            decisions.add(
                    new SchedulingDecision.Preempt(
                            victim.task().id(), selection.vm().id(), task.id()));
        }
        return true;
    }

    private void processReservations(List<SchedulingDecision> decisions, int limit) {
        if (mReservations.isEmpty()) {
            return;
        }
        long now = mClock.monotonicNanos();
        for (Reservation reservation : List.copyOf(mReservations.values())) {
            if (decisions.size() >= limit) {
                return;
            }
            processReservation(reservation, now, decisions);
        }
    }

    private void processReservation(
            Reservation reservation, long now, List<SchedulingDecision> decisions) {
        PendingTask task = reservation.task();
        boolean timedOut =
                now - reservation.createdNanos() >= mSettings.reservationTimeout().toNanos();
        if (reservation.victimsEnded()) {
            removeReservation(reservation);
            place(task, reservation.vm(), reservation.need(), decisions);
        } else if (!reservation.vm().placeable()) {
            removeReservation(reservation);
            mQueues.add(task);
        } else if (!placeElsewhere(reservation, decisions)
                && timedOut
                && reservation.round() < MAX_PREEMPTION_ROUNDS
                && preempt(
                        task,
                        reservation.need(),
                        reservation.vm(),
                        reservation.round() + 1,
                        decisions)) {
            mLedger.withdrawPreemptorReservation(reservation.vm(), reservation.need());
        }
    }

    private boolean placeElsewhere(Reservation reservation, List<SchedulingDecision> decisions) {
        if (!reservation.takeMayFitElsewhere()) {
            return false;
        }
        VmState vm = mVmSelector.select(reservation.task(), reservation.need());
        if (vm != null) {
            removeReservation(reservation);
            place(reservation.task(), vm, reservation.need(), decisions);
        }
        return vm != null;
    }

    private void removeReservation(Reservation reservation) {
        mReservations.remove(reservation.task().id());
        mLedger.withdrawPreemptorReservation(reservation.vm(), reservation.need());
    }

    private void updateQuarantine(VmId vm) {
        mLedger.setQuarantined(vm, !mQuarantineTracker.takesTasks(vm));
    }

    private boolean recentlyFailedOn(JobId job, VmState vm) {
        return mQuarantineTracker.recentlyFailedOn(job, vm.id());
    }

    @Override
    public void recordSuccess(TaskId task, VmId vm) {
        mQuarantineTracker.recordSuccess(task.job(), vm);
        updateQuarantine(vm);
    }

    @Override
    public void recordFailure(TaskId task, VmId vm) {
        List<VmId> unhealthyVms = mQuarantineTracker.unhealthyVms();
        mQuarantineTracker.recordFailure(task.job(), vm, mLedger.vms().size());
        unhealthyVms.forEach(this::updateQuarantine);
        updateQuarantine(vm);
    }

    @Override
    public void recordUsage(UsageObservation sample) {
        TaskAllocation allocation = mLedger.find(sample.task());
        if (allocation == null || !allocation.vm().id().equals(sample.vm())) {
            return;
        }
        PendingTask task = allocation.task();
        if (task.kind() == JobKind.SERVICE && sample.objectiveMicros() > 0) {
            mInterferenceController.addSample(allocation, sample);
        }
        if (!mInterferenceController.isThrottled(allocation)
                && mUsageEstimates.record(task.taskClass(), task.resources(), sample.used())) {
            mUsageEstimatesChanged = true;
        }
    }

    @Override
    public List<InterferenceAction> controlInterference() {
        List<InterferenceAction> actions = mInterferenceController.decide();
        for (InterferenceAction action : actions) {
            if (action instanceof InterferenceAction.Evict evict) {
                mLedger.markEnding(mLedger.find(evict.task()));
            }
        }
        return actions;
    }

    @Override
    public LearnedState learnedState() {
        return new LearnedState(mUsageEstimates.snapshot(), mInterferencePenalties.snapshot());
    }

    @Override
    public void restoreLearnedState(LearnedState state) {
        mUsageEstimates.restore(state.usage());
        mInterferencePenalties.restore(state.penalties());
        mUsageEstimatesChanged = true;
    }

    @Override
    public String explain(JobId job) {
        List<String> explanations = new ArrayList<>();
        int waiting = mQueues.pendingCount(job);
        PendingTask firstTask = mQueues.firstPending(job);
        if (firstTask != null) {
            explanations.add(mWaitExplainer.explainQueued(firstTask, requiredResources(firstTask)));
        }
        for (Reservation reservation : mReservations.values()) {
            if (reservation.task().id().job().equals(job)) {
                waiting++;
                explanations.add(mWaitExplainer.explainReservation(reservation));
            }
        }
        long awaitingRelease =
                mAwaitingRelease.keySet().stream().filter(id -> id.job().equals(job)).count();
        if (awaitingRelease > 0) {
            waiting += (int) awaitingRelease;
            explanations.add(awaitingRelease + " tasks wait for the end of their earlier attempt.");
        }
        return waiting == 0
                ? "No task of job " + job + " waits."
                : waiting + " tasks of job " + job + " wait. " + String.join(" ", explanations);
    }
}
