package org.knapweedbank.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;
import org.knapweedbank.config.ServiceSettings;
import org.knapweedbank.entry.membership.UpstreamTable;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.time.ManualClock;
import org.knapweedbank.wire.ConfigPush;
import org.knapweedbank.wire.FrameCodec;
import org.knapweedbank.wire.FrameException;
import org.knapweedbank.wire.UpstreamDelta;
import org.knapweedbank.wire.UpstreamRecord;
import org.knapweedbank.wire.UpstreamState;

/**
 * Measures heap, message bytes and processor time for the upstream records that every entry holds,
 * and the size of a configuration push, by number of upstreams and of services.
 */
public final class MembershipCapacity implements Benchmark {
    private static final int[] UPSTREAM_COUNTS = {500, 1_000, 1_900, 4_000};
    private static final int[] SERVICE_COUNTS = {10, 20, 60};
    private static final int PARTITION_COUNT = 8;

    /** Number of rounds with the smallest size that run first and are not reported. */
    private static final int WARM_UP_ROUNDS = 20;

    @Override
    public String name() {
        return "capacity.membership";
    }

    @Override
    public void run(BenchmarkReport report) throws FrameException {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            measure(UPSTREAM_COUNTS[0], figure -> {});
        }
        for (int size : UPSTREAM_COUNTS) {
            measure(size, report);
        }
        for (int services : SERVICE_COUNTS) {
            measurePush(services, report);
        }
    }

    /** Measures the frame that sends a configuration generation to an agent. */
    private static void measurePush(int services, BenchmarkReport report) throws FrameException {
        List<ServiceSettings> settings =
                IntStream.range(0, services)
                        .mapToObj(
                                i ->
                                        new ServiceSettings(
                                                "service-" + i,
                                                250,
                                                10_000,
                                                256,
                                                Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE"),
                                                false))
                        .toList();
        String document = new ObjectMapper().valueToTree(settings).toString();
        ConfigPush push = new ConfigPush(1, List.of(), document);
        int bytes = new FrameCodec().encode(push, FrameCodec.MAX_VERSION).length();
        report.add(figure("push.bytes", bytes, "bytes", services + " services"));
    }

    private static void measure(int upstreams, BenchmarkReport report) throws FrameException {
        String input = upstreams + " upstreams, " + PARTITION_COUNT + " partitions";
        FrameCodec codec = new FrameCodec();
        long heapBefore = usedHeapBytes();
        UpstreamTable table = new UpstreamTable(new ManualClock());
        long bytes = 0;
        long cpuNanosBefore = cpuNanos();
        for (int partition = 0; partition < PARTITION_COUNT; partition++) {
            UpstreamDelta delta = snapshot(partition, upstreams / PARTITION_COUNT, 1);
            bytes += codec.encode(delta, FrameCodec.MAX_VERSION).length();
            table.apply(delta);
        }
        double microsPerRecord = (cpuNanos() - cpuNanosBefore) / 1e3 / upstreams;
        double heapPerRecord = (usedHeapBytes() - heapBefore) / (double) upstreams;
        report.add(figure("heap.record", heapPerRecord, "bytes", input));
        report.add(figure("bytes.record", bytes / (double) upstreams, "bytes", input));
        report.add(figure("encode.apply", microsPerRecord, "us a record", input));
        report.add(figure("records", table.size(), "records", input));
    }

    /** Returns all upstream records of a partition as one complete update. */
    private static UpstreamDelta snapshot(int partition, int count, long seq) {
        List<UpstreamRecord> records =
                IntStream.range(0, count).mapToObj(i -> record(partition, i, seq)).toList();
        return new UpstreamDelta(partition, 1, true, records);
    }

    private static UpstreamRecord record(int partition, int index, long seq) {
        String vm = "vm-" + partition + "-" + index;
        UpstreamState state =
                new UpstreamState(
                        "service-" + index % 20, "10.1.2.3:8080", 8, 64, false, false, seq);
        return new UpstreamRecord(
                new DaemonId("agent-" + vm),
                1_796_000_000_000L,
                new DataCentreId("dc-" + index % 5),
                "10.1." + partition + "." + index % 250 + ":7000",
                state);
    }

    private static Figure figure(String name, double value, String unit, String input) {
        return new Figure("capacity.membership." + name, value, unit, null, null, input);
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /** Returns the used heap after a garbage collection. */
    private static long usedHeapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
