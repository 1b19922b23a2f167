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
import org.knapweedbank.scheduling.interference.InterferenceControl;
import org.knapweedbank.scheduling.interference.PairPenalties;
import org.knapweedbank.scheduling.placement.CapacityLedger;
import org.knapweedbank.scheduling.placement.LedgerTask;
import org.knapweedbank.scheduling.placement.UsageEstimates;
import org.knapweedbank.scheduling.placement.VmSelector;
import org.knapweedbank.scheduling.placement.VmSlot;
import org.knapweedbank.scheduling.quarantine.QuarantineTracker;
import org.knapweedbank.scheduling.quota.PendingQueues;
import org.knapweedbank.scheduling.quota.Reservation;
import org.knapweedbank.scheduling.quota.ShapeQueue;
import org.knapweedbank.scheduling.quota.VictimSelector;
import org.knapweedbank.time.Clock;

/**
 * Scheduler of one partition. Combines the queues, the ledger, the choice of VMs and victims, and
 * what has been learned about usage, interference and failing workers.
 */
public final class PartitionScheduler implements TaskScheduler {
    /** VMs on which victims are chosen for one urgent task; bounds the work that is interrupted. */
    private static final int MAX_PREEMPTION_ROUNDS = 2;

    /** Shapes that may be found to wait in one call; bounds its time after a wave of jobs. */
    private static final int MAX_FAILURES = 4_000;

    /** Urgent shapes without victims that are tried again in each call. */
    private static final int MAX_URGENT_RETRIES = 64;

    /** Interval in which all waiting tasks are reconsidered after a change of estimates. */
    private static final long RECONSIDER_INTERVAL_NANOS = 5_000_000_000L;

    /** Room of a VM that takes no tasks. */
    private static final Resources NO_ROOM = new Resources(-1, -1, -1);

    private final SchedulerSettings mSettings;
    private final Clock mClock;
    private final CapacityLedger mLedger;
    private final PendingQueues mQueues;
    private final VmSelector mSelector;
    private final VictimSelector mVictims;
    private final UsageEstimates mEstimates = new UsageEstimates();
    private final PairPenalties mPenalties;
    private final InterferenceControl mInterference;
    private final QuarantineTracker mQuarantine;
    private final WaitExplainer mExplainer;
    private final Map<TaskId, Reservation> mReservations = new LinkedHashMap<>();

    /** Tasks queued again before the end of their earlier attempt was reported. */
    private final Map<TaskId, PendingTask> mDeferred = new HashMap<>();

    /** VMs that have gained capacity which blocked tasks may use. */
    private final Set<VmSlot> mGrown = new LinkedHashSet<>();

    /** Amounts for which no VM has had room since the last gain of a VM on which they fit. */
    private final Set<Resources> mNoRoom = new HashSet<>();

    private boolean mFleetComplete = true;
    private boolean mEstimatesChanged;
    private long mReconsideredNanos;

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
        mPenalties = new PairPenalties(clock);
        PairPenalties costs = mPenalties;
        mInterference = new InterferenceControl(clock, costs);
        mQuarantine = new QuarantineTracker(clock, random);
        mLedger =
                new CapacityLedger(
                        clock, costs, settings.capacityMemory().toNanos(), this::noteGrowth);
        mQueues = new PendingQueues(clock, settings.shareMode());
        mSelector = new VmSelector(mLedger, costs, this::failedOn);
        mVictims = new VictimSelector(mLedger, team -> mQueues.team(team).overQuota(), clock);
        mExplainer = new WaitExplainer(mLedger, mQueues);
    }

    @Override
    public void putVm(VmDescription vm) {
        mLedger.putVm(vm);
        mLedger.setQuarantined(vm.id(), !mQuarantine.takesTasks(vm.id()));
        mQueues.setTotal(mLedger.catalog().total());
    }

    @Override
    public void removeVm(VmId vm) {
        mQuarantine.forget(vm);
        mInterference.forget(vm);
        mLedger.removeVm(vm);
        mQueues.setTotal(mLedger.catalog().total());
    }

    @Override
    public void setSchedulable(VmId vm, boolean schedulable) {
        mLedger.setSchedulable(vm, schedulable);
    }

    @Override
    public void setRemovedDataCentres(Set<DataCentreId> removed) {
        mLedger.setRemovedDataCentres(removed);
    }

    @Override
    public void setFleetComplete(boolean complete) {
        mFleetComplete = complete;
        mQueues.unblockIf((task, need) -> !mayFit(need));
    }

    @Override
    public void setQuotas(Map<String, TeamQuota> quotas) {
        mQueues.setQuotas(quotas);
    }

    @Override
    public void enqueue(PendingTask task) {
        dequeue(task.id());
        if (mLedger.find(task.id()) != null) {
            mDeferred.put(task.id(), task);
        } else {
            mQueues.add(task);
        }
    }

    @Override
    public void dequeue(TaskId task) {
        mDeferred.remove(task);
        mQueues.remove(task);
        Reservation reservation = mReservations.remove(task);
        if (reservation != null) {
            mLedger.withdrawPromise(reservation.slot(), reservation.need());
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
        hold(task, vm, reserved);
    }

    private void hold(PendingTask task, VmId vm, Resources reserved) {
        mLedger.hold(task, vm, reserved);
        mQueues.use(task.team(), reserved);
    }

    @Override
    public void release(TaskId task) {
        LedgerTask held = mLedger.release(task);
        if (held != null) {
            mQueues.use(held.task().team(), Resources.NONE.minus(held.reserved()));
            PendingTask deferred = mDeferred.remove(task);
            if (deferred != null) {
                mQueues.add(deferred);
            }
        }
    }

    private void noteGrowth(VmSlot slot) {
        if (slot.placeable()) {
            Resources available = slot.available();
            mGrown.add(slot);
            mNoRoom.removeIf(need -> need.fitsIn(available));
            mReservations.values().forEach(reservation -> reservation.noteGrowth(slot));
        }
    }

    @Override
    public List<SchedulingDecision> schedule(int limit) {
        List<SchedulingDecision> decisions = new ArrayList<>();
        mQuarantine.advance().forEach(this::applyVerdict);
        serveReservations(decisions, limit);
        reconsider();
        mQueues.unblockUrgent(MAX_URGENT_RETRIES);
        useGrowth();
        int failures = 0;
        while (decisions.size() < limit && failures < MAX_FAILURES) {
            ShapeQueue shape = mQueues.next();
            if (shape == null && !useGrowth()) {
                break;
            }
            if (shape != null && !decide(shape, decisions)) {
                failures++;
            }
        }
        return decisions;
    }

    /** Unblocks tasks whose corrected need has changed or for which no VM is left. */
    private void reconsider() {
        long now = mClock.monotonicNanos();
        boolean due = mEstimatesChanged && now - mReconsideredNanos >= RECONSIDER_INTERVAL_NANOS;
        if (mLedger.catalog().forgetOld(now) || due) {
            mEstimatesChanged = false;
            mReconsideredNanos = now;
            mQueues.unblockIf((task, need) -> !need(task).equals(need) || !mayFit(need));
        }
    }

    /** Unblocks tasks for which VMs have gained room; returns false if there are none. */
    private boolean useGrowth() {
        if (mGrown.isEmpty()) {
            return false;
        }
        Iterator<VmSlot> slots = mGrown.iterator();
        return mQueues.unblockFor(
                new Iterator<>() {
                    @Override
                    public boolean hasNext() {
                        return slots.hasNext();
                    }

                    @Override
                    public Resources next() {
                        VmSlot slot = slots.next();
                        return slot.placeable() ? slot.available() : NO_ROOM;
                    }

                    @Override
                    public void remove() {
                        slots.remove();
                    }
                });
    }

    /** Decides about the first task of a shape; returns false if the shape must wait. */
    private boolean decide(ShapeQueue shape, List<SchedulingDecision> decisions) {
        PendingTask task = shape.head();
        Resources need = need(task);
        VmSlot slot = mNoRoom.contains(need) ? null : mSelector.select(task, need);
        if (slot != null) {
            mQueues.remove(task.id());
            place(task, slot, need, decisions);
        } else if (mFleetComplete && !mayFit(need)) {
            mQueues.remove(task.id());
            decisions.add(new SchedulingDecision.NeverFits(task, mExplainer.neverFits(task)));
        } else if (!shape.urgent() || !preempt(task, need, null, 1, decisions)) {
            mNoRoom.add(need);
            mQueues.block(shape, need);
            return false;
        }
        return true;
    }

    /** Corrected resources; the declared ones if the correction exceeds every VM. */
    private Resources need(PendingTask task) {
        Resources corrected = mEstimates.reserve(task.taskClass(), task.resources());
        return corrected.equals(task.resources()) || mayFit(corrected)
                ? corrected
                : task.resources();
    }

    private boolean mayFit(Resources need) {
        return mLedger.catalog().mayFit(need);
    }

    private void place(
            PendingTask task, VmSlot slot, Resources need, List<SchedulingDecision> decisions) {
        hold(task, slot.id(), need);
        if (mQuarantine.notePlacement(slot.id())) {
            applyVerdict(slot.id());
        }
        decisions.add(new SchedulingDecision.Place(task, slot.id(), need));
    }

    private boolean preempt(
            PendingTask task,
            Resources need,
            VmSlot except,
            int round,
            List<SchedulingDecision> decisions) {
        VictimSelector.Choice choice = mVictims.choose(need, except);
        if (choice == null) {
            return false;
        }
        mQueues.remove(task.id());
        mLedger.promise(choice.slot(), need);
        mReservations.put(
                task.id(),
                new Reservation(task, need, choice.slot(), mClock.monotonicNanos(), round));
        for (LedgerTask victim : choice.victims()) {
            mLedger.markEnding(victim);
            decisions.add(
                    new SchedulingDecision.Preempt(
                            victim.task().id(), choice.slot().id(), task.id()));
        }
        return true;
    }

    private void serveReservations(List<SchedulingDecision> decisions, int limit) {
        if (mReservations.isEmpty()) {
            return;
        }
        long now = mClock.monotonicNanos();
        for (Reservation reservation : List.copyOf(mReservations.values())) {
            if (decisions.size() >= limit) {
                return;
            }
            serve(reservation, now, decisions);
        }
    }

    private void serve(Reservation reservation, long now, List<SchedulingDecision> decisions) {
        PendingTask task = reservation.task();
        boolean late = now - reservation.sinceNanos() >= mSettings.reservationTimeout().toNanos();
        if (reservation.ready()) {
            cancel(reservation);
            place(task, reservation.slot(), reservation.need(), decisions);
        } else if (!reservation.slot().placeable()) {
            cancel(reservation);
            mQueues.add(task);
        } else if (!placeElsewhere(reservation, decisions)
                && late
                && reservation.round() < MAX_PREEMPTION_ROUNDS
                && preempt(
                        task,
                        reservation.need(),
                        reservation.slot(),
                        reservation.round() + 1,
                        decisions)) {
            mLedger.withdrawPromise(reservation.slot(), reservation.need());
        }
    }

    private boolean placeElsewhere(Reservation reservation, List<SchedulingDecision> decisions) {
        if (!reservation.takeRetry()) {
            return false;
        }
        VmSlot slot = mSelector.select(reservation.task(), reservation.need());
        if (slot != null) {
            cancel(reservation);
            place(reservation.task(), slot, reservation.need(), decisions);
        }
        return slot != null;
    }

    private void cancel(Reservation reservation) {
        mReservations.remove(reservation.task().id());
        mLedger.withdrawPromise(reservation.slot(), reservation.need());
    }

    private void applyVerdict(VmId vm) {
        mLedger.setQuarantined(vm, !mQuarantine.takesTasks(vm));
    }

    private boolean failedOn(JobId job, VmSlot slot) {
        return mQuarantine.failedOn(job, slot.id());
    }

    @Override
    public void recordSuccess(TaskId task, VmId vm) {
        mQuarantine.recordSuccess(task.job(), vm);
        applyVerdict(vm);
    }

    @Override
    public void recordFailure(TaskId task, VmId vm) {
        List<VmId> suspects = mQuarantine.suspects();
        mQuarantine.recordFailure(task.job(), vm, mLedger.slots().size());
        suspects.forEach(this::applyVerdict);
        applyVerdict(vm);
    }

    @Override
    public void recordUsage(UsageObservation sample) {
        LedgerTask held = mLedger.find(sample.task());
        if (held == null || !held.slot().id().equals(sample.vm())) {
            return;
        }
        PendingTask task = held.task();
        if (task.kind() == JobKind.SERVICE && sample.objectiveMicros() > 0) {
            mInterference.accept(held, sample);
        }
        if (!mInterference.throttled(held)
                && mEstimates.record(task.taskClass(), task.resources(), sample.used())) {
            mEstimatesChanged = true;
        }
    }

    @Override
    public List<InterferenceAction> controlInterference() {
        List<InterferenceAction> actions = mInterference.decide();
        for (InterferenceAction action : actions) {
            if (action instanceof InterferenceAction.Evict evict) {
                mLedger.markEnding(mLedger.find(evict.task()));
            }
        }
        return actions;
    }

    @Override
    public LearnedState learnedState() {
        return new LearnedState(mEstimates.snapshot(), mPenalties.snapshot());
    }

    @Override
    public void restoreLearnedState(LearnedState state) {
        mEstimates.restore(state.usage());
        mPenalties.restore(state.penalties());
        mEstimatesChanged = true;
    }

    @Override
    public String explain(JobId job) {
        List<String> sentences = new ArrayList<>();
        int waiting = mQueues.pendingOf(job);
        PendingTask first = mQueues.firstOf(job);
        if (first != null) {
            sentences.add(mExplainer.queued(first, need(first)));
        }
        for (Reservation reservation : mReservations.values()) {
            if (reservation.task().id().job().equals(job)) {
                waiting++;
                sentences.add(mExplainer.reserved(reservation));
            }
        }
        long deferred = mDeferred.keySet().stream().filter(id -> id.job().equals(job)).count();
        if (deferred > 0) {
            waiting += (int) deferred;
            sentences.add(deferred + " tasks wait for the end of their earlier attempt.");
        }
        return waiting == 0
                ? "No task of job " + job + " waits."
                : waiting + " tasks of job " + job + " wait. " + String.join(" ", sentences);
    }
}
