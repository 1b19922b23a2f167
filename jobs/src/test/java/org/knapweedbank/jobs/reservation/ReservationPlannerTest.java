package org.knapweedbank.jobs.reservation;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;

/** Tests of plans; times are relative to the time of the plan, processor time is in cores. */
class ReservationPlannerTest {
    private static final long NOW = 100_000;
    private static final ReservationPlanner PLANNER =
            new ReservationPlanner(
                    new ReservationSettings(
                            true, 3, Duration.ofSeconds(3), Duration.ofMillis(250)));

    private static final VmRoom A = vm("a", 8, 2, run(4, 1_000, 2_000), run(2, 300, 400));
    private static final VmRoom B = vm("b", 8, 2, run(6, 500, 900));
    private static final VmRoom FREE = vm("c", 8, 8);
    private static final VmRoom FAR = vm("c", 8, 0, run(8, 3_001, 3_001));
    private static final List<WaitingStep> ONE = List.of(step("j", 1, 6, "", 0));

    private static Resources cores(long cores) {
        return new Resources(cores * 1_000, 0, 0);
    }

    private static EndingRun run(long cores, long expected, long latest) {
        return new EndingRun(cores(cores), NOW + expected, NOW + latest);
    }

    private static VmRoom vm(String id, long capacity, long free, EndingRun... runs) {
        return new VmRoom(
                new DaemonId(id), "s", List.of(id), cores(capacity), cores(free), List.of(runs));
    }

    private static TaskName task(String job, int index) {
        return new TaskName(new JobId(job), 0, 0, index);
    }

    private static WaitingStep step(String job, int count, long cores, String label, int maxPerVm) {
        return new WaitingStep(
                IntStream.range(0, count).mapToObj(i -> task(job, i)).toList(),
                cores(cores),
                "s",
                new PlacementRule(label, "", false, maxPerVm),
                Map.of(new DaemonId("a"), 1));
    }

    private static Reservation previous(String vm, long age) {
        return new Reservation(task("j", 0), new DaemonId(vm), NOW - age, NOW, NOW);
    }

    private static PlanInput input(
            List<VmRoom> vms, List<WaitingStep> waiting, Reservation... previous) {
        return new PlanInput(NOW, vms, waiting, List.of(previous), Map.of());
    }

    /** Returns the planned VM and start of each task, and the reasons of dropped reservations. */
    private static String describe(ReservationPlan plan) {
        Stream<String> tasks =
                plan.tasks().stream()
                        .map(
                                task ->
                                        switch (task) {
                                            case TaskPlan.StartHere t -> t.vm().value();
                                            case TaskPlan.WaitFor t ->
                                                    t.vm().value() + "+" + (t.until() - NOW);
                                            case TaskPlan.NoRoom t -> "-";
                                        });
        Stream<String> dropped = plan.dropped().stream().map(d -> d.reason().label());
        return String.join(" ", Stream.concat(tasks, dropped).toList());
    }

    static Stream<Arguments> plans() {
        return Stream.concat(newReservations(), formerReservations());
    }

    private static Stream<Arguments> newReservations() {
        return Stream.of(
                Arguments.of("first VM", input(List.of(A, B), ONE), "b+500"),
                Arguments.of("free VM", input(List.of(A, FREE), ONE), "c"),
                Arguments.of("beyond the longest hold", input(List.of(FAR), ONE), "-"),
                Arguments.of(
                        "larger than the VM",
                        input(List.of(A), List.of(step("j", 1, 9, "", 0))),
                        "-"),
                Arguments.of(
                        "label", input(List.of(A, B), List.of(step("j", 1, 6, "a", 0))), "a+1000"),
                Arguments.of(
                        "most tasks per VM",
                        input(List.of(A, B), List.of(step("j", 3, 2, "", 1))),
                        "b - -"),
                Arguments.of(
                        "each resource once",
                        input(List.of(A, B), List.of(step("j", 3, 4, "", 0))),
                        "a+300 b+500 b+500"),
                Arguments.of(
                        "most urgent first",
                        input(List.of(A, B), List.of(ONE.get(0), step("k", 1, 6, "", 0))),
                        "b+500 a+1000"),
                Arguments.of(
                        "at most three tasks",
                        input(List.of(FREE), List.of(step("j", 4, 1, "", 0))),
                        "c c c"),
                Arguments.of(
                        "late run", input(List.of(vm("a", 8, 2, run(6, -400, 200))), ONE), "a+100"),
                Arguments.of(
                        "very late run",
                        input(List.of(vm("a", 8, 2, run(6, -900, -700))), ONE),
                        "a+700"),
                Arguments.of(
                        "mean above the quantile",
                        input(List.of(vm("a", 8, 2, run(6, 1_000, 400))), ONE),
                        "a+400"));
    }

    private static Stream<Arguments> formerReservations() {
        VmRoom soon = vm("b", 8, 2, run(6, 100, 200));
        return Stream.of(
                Arguments.of(
                        "perhaps earlier elsewhere",
                        input(List.of(A, B), ONE, previous("a", 100)),
                        "a+1000"),
                Arguments.of(
                        "surely earlier elsewhere",
                        input(List.of(A, soon), ONE, previous("a", 100)),
                        "b+100 moved"),
                Arguments.of(
                        "longest hold is over",
                        input(List.of(A), ONE, previous("a", 2_100)),
                        "- expired"),
                Arguments.of(
                        "VM is not usable",
                        input(List.of(A), ONE, previous("b", 100)),
                        "a+1000 vm_unusable"),
                Arguments.of(
                        "no VM in sight", input(List.of(FAR), ONE, previous("c", 0)), "- no_room"),
                Arguments.of(
                        "resources taken by others",
                        input(List.of(vm("a", 8, 0)), ONE, previous("a", 0)),
                        "- no_room"),
                Arguments.of(
                        "task waits no more",
                        input(List.of(A), List.of(), previous("a", 0)),
                        "not_waiting"));
    }

    /** Guards against a reservation on the wrong VM, for the wrong time or for too long. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("plans")
    void plansAreAsExpected(String name, PlanInput input, String expected) {
        assertThat(describe(PLANNER.plan(input))).isEqualTo(expected);
    }

    /** Guards against a step that keeps room again right after its longest hold. */
    @Test
    void stepIsPausedAfterItsLongestHold() {
        List<VmRoom> vms = List.of(vm("a", 8, 2, run(6, 1_000, 2_000)));
        List<WaitingStep> waiting = List.of(step("j", 1, 6, "", 0));
        var paused = PLANNER.plan(input(vms, waiting, previous("a", 2_100))).pausedUntil();
        assertThat(paused.values()).containsExactly(NOW + 3_000);
        PlanInput during = new PlanInput(NOW + 500, vms, waiting, List.of(), paused);
        assertThat(describe(PLANNER.plan(during))).isEqualTo("-");
        PlanInput after = new PlanInput(NOW + 3_000, vms, waiting, List.of(), paused);
        assertThat(PLANNER.plan(after).holds()).hasSize(1);
    }

    /** Guards against backfill that delays the reserved task, or holds back harmless tasks. */
    @ParameterizedTest
    @CsvSource({
        "2, 9000, true", // fits beside
        "3, 9000, false", // takes reserved room for long
        "3, 1250, true", // ends early enough
        "3, 1251, false",
        "0, 9000, true" // reserves no processor time
    })
    void backfill(long cores, long latestEnd, boolean admitted) {
        VmRoom vm = vm("a", 8, 3, run(5, 1_000, 2_000));
        Hold hold =
                PLANNER.plan(input(List.of(vm), List.of(step("j", 1, 6, "", 0))))
                        .holds()
                        .getFirst();
        assertThat(hold.admits(cores(cores), () -> NOW + latestEnd)).isEqualTo(admitted);
        Hold later = hold.afterStart(cores(2), NOW + 9_000);
        assertThat(later.admits(cores(1), () -> NOW + 9_000)).isFalse();
    }
}
