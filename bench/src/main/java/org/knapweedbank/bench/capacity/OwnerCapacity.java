package org.knapweedbank.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;
import org.knapweedbank.control.JournalCodec;

/**
 * Measures processor time, heap, journal bytes and control traffic of the owner of a partition, by
 * number of VMs with 25 tasks each. At the target size, an owner has 240 VMs and 6,000 tasks.
 */
public final class OwnerCapacity implements Benchmark {
    private static final int[] VM_COUNTS = {60, 120, 240, 480};
    private static final int TASKS_PER_VM = 25;

    /** Number of rounds with the smallest size that run first and are not reported. */
    private static final int WARM_UP_ROUNDS = 3;

    private static final int MEASURED_SECONDS = 30;

    /** Number of tasks that end and start in each second. */
    private static final int CHURN_TASKS_PER_SECOND = 150;

    private static final ThreadMXBean THREAD_MX_BEAN = ManagementFactory.getThreadMXBean();

    @Override
    public String name() {
        return "capacity.owner";
    }

    @Override
    public void run(BenchmarkReport report) {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            measure(VM_COUNTS[0], figure -> {});
        }
        for (int vms : VM_COUNTS) {
            measure(vms, report);
        }
    }

    private static void measure(int vms, BenchmarkReport report) {
        String input = vms + " VMs, " + vms * TASKS_PER_VM + " tasks, seed " + PartitionModel.SEED;
        long heapBefore = usedHeapBytes();
        PartitionModel model = new PartitionModel(vms);
        long heapOfVms = usedHeapBytes() - heapBefore;
        model.submit(vms * TASKS_PER_VM);
        int started = 0;
        while (started < vms * TASKS_PER_VM) {
            int newlyStarted = model.scheduleAndReportStarts();
            started += newlyStarted;
            model.advanceOneSecond();
            if (newlyStarted == 0) {
                break;
            }
        }
        long heapOfTasks = usedHeapBytes() - heapBefore - heapOfVms;
        report.add(figure("heap.vm", heapOfVms / (double) vms, "bytes", input));
        report.add(figure("heap.task", heapOfTasks / (double) started, "bytes", input));
        measureIdle(model, vms, report, input);
        measureChurn(model, report, input);
        measureSnapshot(model, report, input);
    }

    /** Measures the owner while no task starts or ends. */
    private static void measureIdle(
            PartitionModel model, int vms, BenchmarkReport report, String input) {
        long bytesToOwner = model.agents().bytesToOwner();
        long bytesToAgents = model.agents().bytesToAgents();
        long cpuNanosBefore = cpuNanos();
        for (int second = 0; second < MEASURED_SECONDS; second++) {
            model.advanceOneSecond();
        }
        double coreShare = (cpuNanos() - cpuNanosBefore) / 1e9 / MEASURED_SECONDS;
        double perVmSecond = 1.0 / MEASURED_SECONDS / vms;
        report.add(figure("idle.core", 100 * coreShare, "% of a core", input));
        report.add(
                figure(
                        "agent.sent",
                        (model.agents().bytesToOwner() - bytesToOwner) * perVmSecond,
                        "bytes/s",
                        input));
        report.add(
                figure(
                        "agent.received",
                        (model.agents().bytesToAgents() - bytesToAgents) * perVmSecond,
                        "bytes/s",
                        input));
    }

    /**
     * Measures the owner while 150 tasks a second finish and as many start, the share of one of
     * eight partitions.
     */
    private static void measureChurn(PartitionModel model, BenchmarkReport report, String input) {
        long journalRecordsBefore = model.journal().records();
        long journalBytesBefore = model.journal().bytes();
        long cpuNanosBefore = cpuNanos();
        int starts = 0;
        for (int second = 0; second < MEASURED_SECONDS; second++) {
            model.finishTasks(CHURN_TASKS_PER_SECOND);
            model.submit(CHURN_TASKS_PER_SECOND);
            starts += model.scheduleAndReportStarts();
            model.advanceOneSecond();
        }
        double nanos = cpuNanos() - cpuNanosBefore;
        report.add(
                figure("churn.core", 100 * nanos / 1e9 / MEASURED_SECONDS, "% of a core", input));
        report.add(figure("churn.starts", starts / (double) MEASURED_SECONDS, "starts/s", input));
        report.add(
                figure(
                        "journal.records",
                        (model.journal().records() - journalRecordsBefore) / (double) starts,
                        "records a start",
                        input));
        report.add(
                figure(
                        "journal.bytes",
                        (model.journal().bytes() - journalBytesBefore) / (double) starts,
                        "bytes a start",
                        input));
    }

    /**
     * Measures the size of a snapshot, and the time in which a new owner recovers from the complete
     * journal.
     */
    private static void measureSnapshot(
            PartitionModel model, BenchmarkReport report, String input) {
        byte[] snapshot = JournalCodec.encodeSnapshot(model.controller().snapshot());
        report.add(figure("snapshot.bytes", snapshot.length, "bytes", input));
        long startNanos = System.nanoTime();
        model.failOver();
        double millis = (System.nanoTime() - startNanos) / 1e6;
        report.add(new Figure("recovery.owner.replay", millis, "ms, whole log", null, null, input));
    }

    private static Figure figure(String name, double value, String unit, String input) {
        return new Figure("capacity.owner." + name, value, unit, null, null, input);
    }

    private static long cpuNanos() {
        return THREAD_MX_BEAN.getCurrentThreadCpuTime();
    }

    /** Returns the used heap after a garbage collection. */
    private static long usedHeapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
