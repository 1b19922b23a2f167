package org.knapweedbank.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;

class PartitionSchedulerPropertyTest {
    private static final int VMS = 12;
    private static final int STEPS = 300;

    private final SchedulerFixture mFixture = new SchedulerFixture();
    private final PartitionScheduler mScheduler = mFixture.mScheduler;
    private final Map<VmId, VmDescription> mVms = new HashMap<>();
    private final Map<TaskId, SchedulingDecision.Place> mPlacements = new HashMap<>();
    private final Set<TaskId> mPending = new HashSet<>();
    private final Set<TaskId> mEnding = new HashSet<>();
    private final Set<VmId> mUnschedulable = new HashSet<>();
    private Set<DataCentreId> mOutOfServiceDataCentres = Set.of();
    private int mNextJob;

    /**
     * Runs random sequences of all calls with failures and usage of any size. Guards against
     * exceeding the capacity of a VM, allocating a task twice, placing a task on a VM that is out
     * of service, deciding about a task that is not pending, and preempting a task that is not a
     * running batch task.
     */
    @Property(tries = 300, seed = "20261204")
    void neverExceedsCapacityAndPlacesEachTaskOnce(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < VMS; i++) {
            putRandomVm(random, i);
        }
        for (int step = 0; step < STEPS; step++) {
            applyRandomCall(random);
            mFixture.advance(Duration.ofMillis(random.nextInt(500)));
            checkDecisions(mScheduler.schedule(1 + random.nextInt(8)));
        }
    }

    private void putRandomVm(Random random, int number) {
        VmId id = new VmId("v" + number);
        Resources capacity =
                new Resources(
                        1_000L * (4 + random.nextInt(12)),
                        1_024L * (4 + random.nextInt(12)),
                        random.nextInt(3));
        if (mPlacements.values().stream().anyMatch(place -> place.vm().equals(id))) {
            return;
        }
        VmDescription vm =
                new VmDescription(
                        id, new DataCentreId("d" + number % 3), "r" + number % 2, capacity);
        mVms.put(id, vm);
        mScheduler.putVm(vm);
    }

    private void applyRandomCall(Random random) {
        switch (random.nextInt(14)) {
            case 0 -> putRandomVm(random, random.nextInt(VMS));
            case 1 -> {
                VmId vm = new VmId("v" + random.nextInt(VMS));
                mVms.remove(vm);
                mUnschedulable.remove(vm);
                mScheduler.removeVm(vm);
                mPlacements
                        .keySet()
                        .removeIf(task -> releaseIf(task, mPlacements.get(task).vm().equals(vm)));
            }
            case 2 -> {
                mOutOfServiceDataCentres =
                        random.nextInt(3) == 0 ? Set.of(new DataCentreId("d0")) : Set.of();
                mScheduler.setOutOfServiceDataCentres(mOutOfServiceDataCentres);
            }
            case 3 -> {
                VmId vm = new VmId("v" + random.nextInt(VMS));
                if (mVms.containsKey(vm)) {
                    boolean schedulable = random.nextBoolean();
                    mScheduler.setSchedulable(vm, schedulable);
                    boolean changed =
                            schedulable ? mUnschedulable.remove(vm) : mUnschedulable.add(vm);
                }
            }
            case 4 -> {
                List<TaskId> pending = new ArrayList<>(mPending);
                pending.stream().limit(2).forEach(mScheduler::dequeue);
                pending.stream().limit(2).forEach(mPending::remove);
            }
            case 5, 6, 7 ->
                    mPlacements.keySet().removeIf(task -> releaseIf(task, random.nextInt(4) == 0));
            case 8 ->
                    mPlacements.values().stream()
                            .limit(3)
                            .forEach(place -> reportOutcomeAndUsage(random, place));
            case 9 -> {
                for (InterferenceAction action : mScheduler.controlInterference()) {
                    if (action instanceof InterferenceAction.Evict evict) {
                        assertThat(mEnding.add(evict.task())).isTrue();
                    }
                }
            }
            default -> submitRandomJob(random);
        }
    }

    /** Reports random failures, successes and usage, including memory above the declared amount. */
    private void reportOutcomeAndUsage(Random random, SchedulingDecision.Place place) {
        TaskId task = place.task().id();
        if (random.nextInt(3) == 0) {
            mScheduler.recordFailure(task, place.vm());
        } else if (random.nextInt(3) == 0) {
            mScheduler.recordSuccess(task, place.vm());
        }
        for (int i = 0; i < 15; i++) {
            Resources used =
                    new Resources(
                            random.nextInt(8_000),
                            random.nextInt(8_000),
                            place.reserved().accelerators());
            long objective = place.task().kind() == JobKind.SERVICE ? 1_000 : 0;
            long now = mFixture.mClock.monotonicNanos();
            mScheduler.recordUsage(
                    new UsageObservation(
                            task, place.vm(), used, random.nextInt(4_000), objective, now - i));
        }
    }

    private boolean releaseIf(TaskId task, boolean condition) {
        if (condition) {
            mScheduler.release(task);
            mEnding.remove(task);
        }
        return condition;
    }

    private void submitRandomJob(Random random) {
        JobKind kind = random.nextInt(4) == 0 ? JobKind.SERVICE : JobKind.BATCH;
        boolean urgent = random.nextInt(5) == 0;
        Resources need =
                new Resources(
                        500L * (1 + random.nextInt(10)),
                        512L * (1 + random.nextInt(10)),
                        random.nextInt(6) == 0 ? 1 : 0);
        JobId job = new JobId("j" + mNextJob++);
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            PendingTask task =
                    new PendingTask(
                            new TaskId(job, i),
                            1,
                            "t" + random.nextInt(4),
                            kind,
                            "c" + random.nextInt(3),
                            need,
                            random.nextInt(3),
                            urgent,
                            mFixture.mClock.monotonicNanos());
            mPending.add(task.id());
            mScheduler.enqueue(task);
        }
    }

    private void checkDecisions(List<SchedulingDecision> decisions) {
        for (SchedulingDecision decision : decisions) {
            switch (decision) {
                case SchedulingDecision.Place place -> checkPlacement(place);
                case SchedulingDecision.NeverFits never ->
                        assertThat(mPending.remove(never.task().id())).isTrue();
                case SchedulingDecision.Preempt preempt -> {
                    SchedulingDecision.Place victim = mPlacements.get(preempt.victim());
                    assertThat(victim.vm()).isEqualTo(preempt.vm());
                    assertThat(victim.task().kind()).isEqualTo(JobKind.BATCH);
                    assertThat(victim.task().urgent()).isFalse();
                    assertThat(mEnding.add(preempt.victim())).isTrue();
                    assertThat(mPending).contains(preempt.preemptor());
                }
            }
        }
    }

    private void checkPlacement(SchedulingDecision.Place place) {
        assertThat(mPending.remove(place.task().id())).isTrue();
        assertThat(mPlacements.put(place.task().id(), place)).isNull();
        VmDescription vm = mVms.get(place.vm());
        assertThat(vm).isNotNull();
        assertThat(mOutOfServiceDataCentres).doesNotContain(vm.dataCentre());
        assertThat(mUnschedulable).doesNotContain(vm.id());
        Resources used =
                mPlacements.values().stream()
                        .filter(held -> held.vm().equals(vm.id()))
                        .map(SchedulingDecision.Place::reserved)
                        .reduce(Resources.NONE, Resources::plus);
        assertWithMessage("used %s of %s", used, vm).that(used.fitsIn(vm.capacity())).isTrue();
    }
}
