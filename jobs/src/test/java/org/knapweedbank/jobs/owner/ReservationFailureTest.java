package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.reservation.ReservationSettings;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.JobId;

/**
 * Tests of reservations when something fails. An urgent task waits for all 8 cores of a VM on which
 * two tasks of 4 cores are expected to run for a second; small less urgent ones come later.
 */
class ReservationFailureTest {
    private static final Duration HALF_SECOND = Duration.ofMillis(500);

    private final Map<TaskName, Long> mStartedAt = new HashMap<>();
    private OwnerFixture mFixture = create(true);

    private static OwnerFixture create(boolean enabled) {
        OwnerFixture fixture = new OwnerFixture(MixedLoad.scheduling(enabled));
        fixture.mOwner.configure(MixedLoad.queues());
        return fixture;
    }

    private void submitSmall(String id, int count) {
        mFixture.submit(id, MixedLoad.SMALL, OwnerFixture.step(count, 1_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
    }

    private void fill(String vm) {
        mFixture.addVm(vm, 8_000);
        mFixture.submit("busy-" + vm, OwnerFixture.step(2, 4_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
    }

    /** Lets the large task wait, ends one of the two tasks on the VM and submits a small task. */
    private void reserveAndFreeHalf() {
        fill("a");
        waitAndFreeHalf("a");
    }

    private void waitAndFreeHalf(String... vms) {
        mFixture.submit("large", OwnerFixture.step(1, 8_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        mFixture.advanceTime(HALF_SECOND, vms);
        mFixture.reportEnd(mFixture.mStarts.getFirst(), EndKind.DONE, "");
        submitSmall("small", 1);
    }

    private static StepSpec shortStep(Duration estimate) {
        StepSpec usual = OwnerFixture.step(1, 1_000, StepTraits.BATCH);
        return new StepSpec(
                usual.count(),
                usual.perTask(),
                estimate,
                usual.after(),
                usual.traits(),
                usual.placement(),
                usual.image(),
                Duration.ZERO,
                -1);
    }

    /** Ends the short tasks that have run for a time. */
    private void endShortRunsAfter(Duration time) {
        long now = mFixture.mClock.monotonicMillis();
        for (OwnerFixture.Order order : List.copyOf(mFixture.mStarts)) {
            if (order.mTask().job().value().startsWith("short")) {
                long startedAt = mStartedAt.computeIfAbsent(order.mTask(), task -> now);
                if (startedAt + time.toMillis() == now) {
                    mFixture.reportEnd(order, EndKind.DONE, "");
                }
            }
        }
    }

    private List<String> started() {
        return mFixture.mStarts.stream().map(order -> order.mTask().job().value()).toList();
    }

    private OwnerFixture.LogLine lastReservation() {
        return mFixture.logLines("reservation.made").getLast();
    }

    private Object lastDropReason() {
        return mFixture.logLines("reservation.dropped").getLast().mFields().get("reason");
    }

    /** Guards against small tasks that take what becomes free for the large one. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void roomIsKeptOnlyIfEnabled(boolean enabled) {
        mFixture = create(enabled);
        reserveAndFreeHalf();
        assertThat(started().contains("small")).isEqualTo(!enabled);
        assertThat(mFixture.logLines("reservation.made")).hasSize(enabled ? 1 : 0);
    }

    /** Guards against a reservation that is not used when runs end earlier than expected. */
    @Test
    void earlyEndsStartTheTaskEarly() {
        reserveAndFreeHalf();
        mFixture.reportEnd(mFixture.mStarts.get(1), EndKind.DONE, "");
        assertThat(started()).containsExactly("busy-a", "busy-a", "large").inOrder();
        assertThat(mFixture.logLines("reservation.used")).hasSize(1);
    }

    /** Guards against a reservation that keeps room unused while a run takes far too long. */
    @Test
    void lateEndsReleaseTheRoom() {
        reserveAndFreeHalf();
        for (int i = 0; i < 4; i++) {
            assertThat(started()).doesNotContain("small");
            mFixture.advanceTime(HALF_SECOND, "a");
        }
        for (int i = 0; i < 4; i++) {
            mFixture.advanceTime(HALF_SECOND, "a");
        }
        assertThat(started()).contains("small");
        assertThat(lastDropReason()).isEqualTo("expired");
        submitSmall("later", 1);
        assertThat(started()).contains("later");
    }

    /**
     * Guards against short tasks that are admitted one after another, each ending shortly after the
     * expected start, and so delay the reserved task by more than the settings allow.
     */
    @Test
    void shortTasksDelayTheReservedTaskOnce() {
        reserveAndFreeHalf();
        Duration tick = Duration.ofMillis(20);
        Duration runTime = Duration.ofMillis(100);
        long expectedStart = mFixture.mClock.monotonicMillis() + HALF_SECOND.toMillis();
        long latestStart = expectedStart + ReservationSettings.DISABLED.maxDelay().toMillis();
        while (mFixture.mClock.monotonicMillis() < latestStart + tick.toMillis()) {
            long now = mFixture.mClock.monotonicMillis();
            mFixture.submit("short" + now, MixedLoad.SMALL, shortStep(runTime));
            mFixture.storeAndSchedule();
            mFixture.advanceTime(tick, "a");
            if (now == expectedStart) {
                mFixture.reportEnd(mFixture.mStarts.get(1), EndKind.DONE, "");
            }
            endShortRunsAfter(runTime);
        }
        assertThat(started()).contains("large");
    }

    /** Guards against an equally or more urgent task that waits for a reservation. */
    @Test
    void urgentTasksAreNotHeldBack() {
        reserveAndFreeHalf();
        mFixture.submit("urgent", OwnerFixture.step(1, 1_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        assertThat(started()).contains("urgent");
    }

    /**
     * Guards against room that stays reserved for a task that will never start, and against a log
     * that blames the VM for it.
     */
    @Test
    void cancelledTaskLosesItsReservation() {
        reserveAndFreeHalf();
        mFixture.mOwner.cancel(new JobId("large"));
        mFixture.storeAndSchedule();
        assertThat(started()).contains("small");
        mFixture.advanceTime(Duration.ofMillis(60), "a");
        assertThat(lastDropReason()).isEqualTo("not_waiting");
    }

    /** Guards against a paused step that keeps other steps from getting a reservation. */
    @Test
    void pausedStepLeavesReservationsToOthers() {
        mFixture = new OwnerFixture(MixedLoad.scheduling(true, 1));
        mFixture.mOwner.configure(MixedLoad.queues());
        reserveAndFreeHalf();
        while (mFixture.logLines("reservation.dropped").isEmpty()) {
            mFixture.advanceTime(HALF_SECOND, "a");
        }
        assertThat(lastDropReason()).isEqualTo("expired");
        mFixture.submit("other", MixedLoad.SMALL, OwnerFixture.step(1, 8_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        mFixture.advanceTime(Duration.ofMillis(60), "a");
        assertThat(lastReservation().mSubject().toString()).startsWith("other");
    }

    /** Guards against many VMs that have room but not for one more task of the step. */
    @Test
    void vmsAtTheMaximumOfAStepDoNotHideOthers() {
        fill("full");
        IntStream.range(0, 40).forEach(i -> mFixture.addVm("vm" + i, 8_000));
        StepSpec usual = OwnerFixture.step(41, 4_000, StepTraits.BATCH);
        mFixture.submit(
                "limited",
                new StepSpec(
                        usual.count(),
                        usual.perTask(),
                        usual.estimate(),
                        usual.after(),
                        usual.traits(),
                        new PlacementRule("", "", false, 1),
                        usual.image(),
                        Duration.ZERO,
                        -1));
        mFixture.storeAndSchedule();
        assertThat(lastReservation().mFields().get("vm")).isEqualTo("full");
    }

    /** Guards against many VMs that are too small and hide the only one that is large enough. */
    @Test
    void smallVmsDoNotHideLargeOne() {
        mFixture.addVm("large-vm", 16_000);
        mFixture.submit("busy", OwnerFixture.step(2, 8_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        IntStream.range(0, 100).forEach(i -> mFixture.addVm("vm" + i, 8_000));
        mFixture.submit("large", OwnerFixture.step(1, 12_000, StepTraits.BATCH));
        mFixture.storeAndSchedule();
        assertThat(lastReservation().mFields().get("vm")).isEqualTo("large-vm");
    }

    /** Guards against an owner that acts on a plan from before it was paused. */
    @Test
    void planFromBeforeAPauseIsNotUsed() {
        reserveAndFreeHalf();
        mFixture.advanceTime(Duration.ofMillis(1_001), "a");
        assertThat(lastDropReason()).isEqualTo("outdated");
        assertThat(started()).contains("small");
    }

    static Stream<Arguments> vmFailures() {
        Consumer<OwnerFixture> drain =
                f ->
                        f.mOwner.handleWorkerUpdate(
                                new DaemonId("a"), OwnerFixture.worker("a", 1, 8_000, true));
        Consumer<OwnerFixture> disconnect = f -> f.mOwner.handleDisconnect(new DaemonId("a"));
        Consumer<OwnerFixture> leave = f -> f.mOwner.handleNoWorker(new DaemonId("a"), "left");
        Consumer<OwnerFixture> evacuate =
                f -> f.mOwner.setEvacuatedDataCentres(Set.of(OwnerFixture.DATA_CENTRE));
        return Stream.of(
                Arguments.of(drain, true),
                Arguments.of(disconnect, true),
                Arguments.of(leave, true),
                Arguments.of(evacuate, false));
    }

    /** Guards against a task that waits for a VM which gets no start orders any more. */
    @ParameterizedTest
    @MethodSource("vmFailures")
    void reservationLeavesAnUnusableVm(Consumer<OwnerFixture> failure, boolean otherUsable) {
        fill("a");
        mFixture.advanceTime(Duration.ofMillis(300), "a");
        fill("b");
        waitAndFreeHalf("a", "b");
        failure.accept(mFixture);
        mFixture.advanceTime(Duration.ofMillis(60), "b");
        assertThat(
                        mFixture.logLines("reservation.dropped").stream()
                                .map(line -> line.mFields().get("reason")))
                .contains("vm_unusable");
        Object vm = lastReservation().mFields().get("vm");
        assertThat(vm).isEqualTo(otherUsable ? "b" : "a");
    }

    /**
     * Guards against a reservation that stays on a VM whose room a long-running task has taken, and
     * so keeps the reserved task waiting and the rest of the VM unused.
     */
    @Test
    void reservationLeavesAVmWhoseRoomIsTaken() {
        fill("a");
        mFixture.advanceTime(Duration.ofMillis(300), "a");
        fill("b");
        waitAndFreeHalf("a", "b");
        mFixture.submit("service", MixedLoad.SMALL, OwnerFixture.servingStep(1, 2_000, -1));
        mFixture.storeAndSchedule();
        assertThat(started()).doesNotContain("service");
        mFixture.advanceTime(HALF_SECOND, "a", "b");
        mFixture.advanceTime(HALF_SECOND, "a", "b");
        assertThat(started()).contains("service");
        mFixture.advanceTime(Duration.ofMillis(60), "a", "b");
        assertThat(lastDropReason()).isEqualTo("moved");
        assertThat(lastReservation().mFields().get("vm")).isEqualTo("b");
        mFixture.advanceTime(Duration.ofMillis(60), "a", "b");
        assertThat(started()).contains("small");
        mFixture.reportEnd(mFixture.mStarts.get(2), EndKind.DONE, "");
        mFixture.reportEnd(mFixture.mStarts.get(3), EndKind.DONE, "");
        assertThat(started()).contains("large");
    }

    /** Guards against a new owner that does not plan, or starts tasks over the capacity. */
    @Test
    void newOwnerMakesItsOwnPlan() throws IOException {
        reserveAndFreeHalf();
        OwnerFixture.Order busy = mFixture.mStarts.get(1);
        mFixture = mFixture.createSuccessor();
        mFixture.mOwner.configure(MixedLoad.queues());
        RunStatus run = new RunStatus(busy.mTask(), busy.mRunNumber(), "", 50, 0);
        mFixture.report(
                "a", OwnerFixture.worker("a", 1, 8_000, false), List.of(run), List.of(), false);
        mFixture.storeAndSchedule();
        assertThat(mFixture.logLines("reservation.made")).hasSize(1);
        mFixture.mStarts.clear();
        submitSmall("later", 1);
        assertThat(mFixture.mStarts).isEmpty();
    }
}
