package org.knapweedbank.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;
import org.knapweedbank.control.JournalCodec;

/**
 * Processor time, heap, journal bytes and control bytes of the owner of a partition, by number of
 * VMs, with 25 tasks a VM. The owner of the target size has 240 VMs and 6,000 tasks.
 */
public final class OwnerCapacity implements Benchmark {
    private static final int[] SIZES = {60, 120, 240, 480};
    private static final int TASKS_PER_VM = 25;
    private static final int WARM_UP_ROUNDS = 3;
    private static final int SECONDS = 30;
    private static final int CHURN = 150;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    @Override
    public String name() {
        return "capacity.owner";
    }

    @Override
    public void run(BenchmarkReport report) {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            measure(SIZES[0], figure -> {});
        }
        for (int vms : SIZES) {
            measure(vms, report);
        }
    }

    private static void measure(int vms, BenchmarkReport report) {
        String input = vms + " VMs, " + vms * TASKS_PER_VM + " tasks, seed " + PartitionModel.SEED;
        long heapBefore = usedHeap();
        PartitionModel model = new PartitionModel(vms);
        long heapOfVms = usedHeap() - heapBefore;
        model.submit(vms * TASKS_PER_VM);
        int started = 0;
        while (started < vms * TASKS_PER_VM) {
            int more = model.start();
            started += more;
            model.second();
            if (more == 0) {
                break;
            }
        }
        long heapOfTasks = usedHeap() - heapBefore - heapOfVms;
        report.add(figure("heap.vm", heapOfVms / (double) vms, "bytes", input));
        report.add(figure("heap.task", heapOfTasks / (double) started, "bytes", input));
        measureIdle(model, vms, report, input);
        measureChurn(model, report, input);
        measureSnapshot(model, report, input);
    }

    private static void measureIdle(
            PartitionModel model, int vms, BenchmarkReport report, String input) {
        long bytesToOwner = model.agents().bytesToOwner();
        long bytesToAgents = model.agents().bytesToAgents();
        long cpu = cpuNanos();
        for (int second = 0; second < SECONDS; second++) {
            model.second();
        }
        double share = (cpuNanos() - cpu) / 1e9 / SECONDS;
        double perVm = 1.0 / SECONDS / vms;
        report.add(figure("idle.core", 100 * share, "% of a core", input));
        report.add(
                figure(
                        "agent.sent",
                        (model.agents().bytesToOwner() - bytesToOwner) * perVm,
                        "bytes/s",
                        input));
        report.add(
                figure(
                        "agent.received",
                        (model.agents().bytesToAgents() - bytesToAgents) * perVm,
                        "bytes/s",
                        input));
    }

    /** Tasks finish and others start, 150 a second, the share of one of eight partitions. */
    private static void measureChurn(PartitionModel model, BenchmarkReport report, String input) {
        long records = model.journal().records();
        long bytes = model.journal().bytes();
        long cpu = cpuNanos();
        int starts = 0;
        for (int second = 0; second < SECONDS; second++) {
            model.finish(CHURN);
            model.submit(CHURN);
            starts += model.start();
            model.second();
        }
        double nanos = cpuNanos() - cpu;
        report.add(figure("churn.core", 100 * nanos / 1e9 / SECONDS, "% of a core", input));
        report.add(figure("churn.starts", starts / (double) SECONDS, "starts/s", input));
        report.add(
                figure(
                        "journal.records",
                        (model.journal().records() - records) / (double) starts,
                        "records a start",
                        input));
        report.add(
                figure(
                        "journal.bytes",
                        (model.journal().bytes() - bytes) / (double) starts,
                        "bytes a start",
                        input));
    }

    private static void measureSnapshot(
            PartitionModel model, BenchmarkReport report, String input) {
        byte[] snapshot = JournalCodec.encodeSnapshot(model.controllerInUse().snapshot());
        report.add(figure("snapshot.bytes", snapshot.length, "bytes", input));
        long start = System.nanoTime();
        model.takeOver();
        double millis = (System.nanoTime() - start) / 1e6;
        report.add(new Figure("recovery.owner.replay", millis, "ms, whole log", null, null, input));
    }

    private static Figure figure(String name, double value, String unit, String input) {
        return new Figure("capacity.owner." + name, value, unit, null, null, input);
    }

    private static long cpuNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
