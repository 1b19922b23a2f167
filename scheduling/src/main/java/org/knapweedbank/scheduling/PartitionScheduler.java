package org.knapweedbank.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.time.Clock;

/** Scheduler of one partition: first fit in order of urgency, priority and submission. */
public final class PartitionScheduler implements TaskScheduler {
    private static final Comparator<PendingTask> ORDER =
            Comparator.comparing((PendingTask task) -> !task.urgent())
                    .thenComparing(task -> -task.priority())
                    .thenComparing(PendingTask::submittedNanos)
                    .thenComparing(PendingTask::id);

    private record Held(PendingTask task, VmId vm, Resources reserved) {}

    private final Map<VmId, VmDescription> mVms = new TreeMap<>();
    private final Map<VmId, Resources> mFree = new HashMap<>();
    private final Set<VmId> mUnschedulable = new HashSet<>();
    private final Map<TaskId, PendingTask> mPending = new HashMap<>();
    private final TreeSet<PendingTask> mQueue = new TreeSet<>(ORDER);
    private final Map<TaskId, Held> mHeld = new HashMap<>();
    private Set<DataCentreId> mRemoved = Set.of();
    private boolean mFleetComplete = true;

    /**
     * Creates a scheduler without VMs and tasks.
     *
     * @param settings the settings
     * @param clock source of time
     * @param random source of random numbers
     */
    public PartitionScheduler(
            SchedulerSettings settings, Clock clock, UniformRandomProvider random) {}

    @Override
    public void putVm(VmDescription vm) {
        mVms.put(vm.id(), vm);
        Resources free = vm.capacity();
        for (Held held : mHeld.values()) {
            free = held.vm().equals(vm.id()) ? free.minus(held.reserved()) : free;
        }
        mFree.put(vm.id(), free);
    }

    @Override
    public void removeVm(VmId vm) {
        mVms.remove(vm);
        mFree.remove(vm);
    }

    @Override
    public void setSchedulable(VmId vm, boolean schedulable) {
        if (schedulable) {
            mUnschedulable.remove(vm);
        } else {
            mUnschedulable.add(vm);
        }
    }

    @Override
    public void setRemovedDataCentres(Set<DataCentreId> removed) {
        mRemoved = Set.copyOf(removed);
    }

    @Override
    public void setFleetComplete(boolean complete) {
        mFleetComplete = complete;
    }

    @Override
    public void setQuotas(Map<String, TeamQuota> quotas) {}

    @Override
    public void enqueue(PendingTask task) {
        dequeue(task.id());
        mPending.put(task.id(), task);
        mQueue.add(task);
    }

    @Override
    public void dequeue(TaskId task) {
        PendingTask pending = mPending.remove(task);
        if (pending != null) {
            mQueue.remove(pending);
        }
    }

    @Override
    public void adopt(PendingTask task, VmId vm) {
        adopt(task, vm, task.resources());
    }

    @Override
    public void adopt(PendingTask task, VmId vm, Resources reserved) {
        release(task.id());
        mHeld.put(task.id(), new Held(task, vm, reserved));
        mFree.computeIfPresent(vm, (id, free) -> free.minus(reserved));
    }

    @Override
    public void release(TaskId task) {
        Held held = mHeld.remove(task);
        if (held != null) {
            mFree.computeIfPresent(held.vm(), (id, free) -> free.plus(held.reserved()));
        }
    }

    @Override
    public List<SchedulingDecision> schedule(int limit) {
        List<SchedulingDecision> decisions = new ArrayList<>();
        for (PendingTask task : List.copyOf(mQueue)) {
            if (decisions.size() >= limit) {
                break;
            }
            if (mHeld.containsKey(task.id())) {
                continue;
            }
            Optional<VmId> vm = firstFit(task.resources());
            if (vm.isPresent()) {
                dequeue(task.id());
                adopt(task, vm.get(), task.resources());
                decisions.add(new SchedulingDecision.Place(task, vm.get(), task.resources()));
            } else if (neverFits(task.resources())) {
                dequeue(task.id());
                decisions.add(new SchedulingDecision.NeverFits(task, tooLarge(task)));
            }
        }
        return decisions;
    }

    private Optional<VmId> firstFit(Resources resources) {
        return mVms.values().stream()
                .filter(vm -> !mRemoved.contains(vm.dataCentre()))
                .filter(vm -> !mUnschedulable.contains(vm.id()))
                .filter(vm -> resources.fitsIn(mFree.get(vm.id())))
                .map(VmDescription::id)
                .findFirst();
    }

    private boolean neverFits(Resources resources) {
        return mFleetComplete
                && !mVms.isEmpty()
                && mVms.values().stream().noneMatch(vm -> resources.fitsIn(vm.capacity()));
    }

    private static String tooLarge(PendingTask task) {
        return "task " + task.id() + " asks for more than any VM of the partition has";
    }

    @Override
    public void recordSuccess(TaskId task, VmId vm) {}

    @Override
    public void recordFailure(TaskId task, VmId vm) {}

    @Override
    public void recordUsage(UsageObservation sample) {}

    @Override
    public List<InterferenceAction> controlInterference() {
        return List.of();
    }

    @Override
    public String explain(JobId job) {
        long waiting = mPending.keySet().stream().filter(id -> id.job().equals(job)).count();
        return waiting == 0
                ? "No task of job " + job + " waits."
                : waiting + " tasks of job " + job + " wait for free capacity.";
    }
}
