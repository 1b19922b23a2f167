package org.knapweedbank.bench.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.reservation.EndingRun;
import org.knapweedbank.jobs.reservation.PlanInput;
import org.knapweedbank.jobs.reservation.ReservationPlanner;
import org.knapweedbank.jobs.reservation.ReservationSettings;
import org.knapweedbank.jobs.reservation.VmRoom;
import org.knapweedbank.jobs.reservation.WaitingStep;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;

/**
 * Measures the time of one plan of reservations by the number of VMs in it. The owner puts at most
 * 32 VMs into a plan, unless a waiting step has a label or a limit for each VM.
 */
public final class ReservationPlanTime implements Benchmark {
    private static final long SEED = 20261207;
    private static final int[] VM_COUNTS = {30, 100, 300, FleetModel.TARGET_WORKERS};
    private static final int RUNS_PER_VM = 25;
    private static final int WAITING_STEPS = 16;
    private static final int WARM_UP_PLANS = 300;
    private static final int MEASURED_PLANS = 1_000;
    private static final Resources CAPACITY = new Resources(64_000, 256_000, 0);
    private static final Resources SMALL_TASK = new Resources(2_500, 5_000, 0);
    private static final Resources LARGE_TASK = new Resources(13_000, 26_000, 0);
    private static final int MAX_RUN_MILLIS = 3_000;

    @Override
    public String name() {
        return "reservation.plan";
    }

    @Override
    public void run(BenchmarkReport report) {
        IntStream.of(VM_COUNTS).forEach(vms -> measure(vms, report));
    }

    private void measure(int vms, BenchmarkReport report) {
        Random random = new Random(SEED);
        List<VmRoom> rooms = IntStream.range(0, vms).mapToObj(i -> createVm(i, random)).toList();
        List<WaitingStep> waiting =
                IntStream.range(0, WAITING_STEPS)
                        .mapToObj(ReservationPlanTime::createStep)
                        .toList();
        ReservationPlanner planner = new ReservationPlanner(ReservationSettings.DISABLED);
        Histogram micros = new Histogram(3);
        int reservations = 0;
        for (int i = 0; i < WARM_UP_PLANS + MEASURED_PLANS; i++) {
            long startedAt = System.nanoTime();
            PlanInput input = new PlanInput(0, rooms, waiting, List.of(), Map.of());
            reservations = planner.plan(input).holds().size();
            if (i >= WARM_UP_PLANS) {
                micros.recordValue((System.nanoTime() - startedAt) / 1_000);
            }
        }
        report.add(
                new Figure(
                        name() + ".median",
                        micros.getValueAtPercentile(50),
                        "us/plan",
                        null,
                        null,
                        "seed %d, %d VMs with %d runs each, %d waiting tasks, %d reservations"
                                .formatted(SEED, vms, RUNS_PER_VM, WAITING_STEPS, reservations)));
    }

    private static VmRoom createVm(int number, Random random) {
        List<EndingRun> runs =
                IntStream.range(0, RUNS_PER_VM)
                        .mapToLong(i -> random.nextInt(MAX_RUN_MILLIS))
                        .mapToObj(end -> new EndingRun(SMALL_TASK, end, 2 * end))
                        .toList();
        return new VmRoom(
                new DaemonId("vm-" + number), "service", List.of(), CAPACITY, SMALL_TASK, runs);
    }

    private static WaitingStep createStep(int number) {
        return new WaitingStep(
                List.of(new TaskName(new JobId("job-" + number), 0, 0, 0)),
                LARGE_TASK,
                "service",
                PlacementRule.ANYWHERE,
                Map.of());
    }
}
