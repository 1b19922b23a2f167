package org.knapweedbank.bench.agent;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;

/**
 * Resident memory, processor time and control traffic of an agent process, idle and at 50 requests
 * a second. Without further settings it starts a process with the options of {@code
 * bin/agent-jvm-options}. The environment variable {@code AGENT_PID} names a running process to
 * read in its place, {@code AGENT_JVM_OPTIONS} another file of options.
 */
public final class AgentFootprint implements Benchmark {
    private static final long WARM_UP_SECONDS = 15;
    private static final long MEASURE_SECONDS = 30;
    private static final int REQUESTS_PER_SECOND = 50;
    private static final long STOP_SECONDS = 10;
    private static final String MEMORY_TARGET = "<= 64";
    private static final String CPU_TARGET = "<= 3.3";
    private static final String CONTROL_TARGET = "<= 3072";

    @Override
    public String name() {
        return "agent.footprint";
    }

    @Override
    public void run(BenchmarkReport report) throws Exception {
        String pid = System.getenv("AGENT_PID");
        if (pid != null) {
            measure("given", new ProcessReadings(Long.parseLong(pid)), null, report);
            return;
        }
        baseline(report);
        FootprintPeer peer = new FootprintPeer();
        int[] ports = freePorts();
        int dataPort = ports[0];
        int announcePort = ports[1];
        String entry = "127.0.0.1:" + peer.listen();
        Process agent =
                start(
                        AgentMain.class,
                        entry,
                        Integer.toString(dataPort),
                        Integer.toString(announcePort));
        try {
            ProcessReadings readings = new ProcessReadings(agent.pid());
            peer.awaitSession();
            peer.announce(announcePort);
            measure("idle", readings, peer, report);
            peer.connect(dataPort);
            long load = peer.load(REQUESTS_PER_SECOND);
            measure("loaded", readings, peer, report);
            peer.stopLoad(load);
            double p50 = peer.latency().getValueAtPercentile(50) / 1000.0;
            add(report, "loaded.latency.p50", p50, "ms", null);
            add(report, "loaded.other", peer.other(), "requests", "= 0");
        } finally {
            stop(agent);
            peer.close();
        }
    }

    /** Memory of a process with the same options that does nothing. */
    private void baseline(BenchmarkReport report) throws Exception {
        Process process = start(IdleMain.class);
        try {
            TimeUnit.SECONDS.sleep(3);
            double memory = new ProcessReadings(process.pid()).megabytes("VmRSS");
            String name = name() + ".memory";
            report.add(new Figure(name, memory, "MiB", null, "JVM that does nothing", input()));
        } finally {
            stop(process);
        }
    }

    private void measure(
            String phase, ProcessReadings readings, FootprintPeer peer, BenchmarkReport report)
            throws Exception {
        TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
        double cpu = readings.cpuSeconds();
        long bytes = peer == null ? 0 : peer.controlBytes();
        long started = System.nanoTime();
        double memory = 0;
        for (int i = 0; i < MEASURE_SECONDS; i++) {
            TimeUnit.SECONDS.sleep(1);
            memory = Math.max(memory, readings.megabytes("VmRSS"));
        }
        double seconds = (System.nanoTime() - started) / 1e9;
        add(report, phase + ".memory", memory, "MiB", MEMORY_TARGET);
        add(report, phase + ".memory.anon", readings.megabytes("RssAnon"), "MiB", null);
        add(report, phase + ".threads", readings.threads(), "threads", null);
        double share = (readings.cpuSeconds() - cpu) / seconds * 100;
        add(report, phase + ".cpu", share, "% of a core", CPU_TARGET);
        if (peer != null) {
            double rate = (peer.controlBytes() - bytes) / seconds;
            add(report, phase + ".control", rate, "B/s", CONTROL_TARGET);
        }
    }

    private void add(
            BenchmarkReport report, String figure, double value, String unit, String target) {
        report.add(new Figure(name() + "." + figure, value, unit, target, null, input()));
    }

    private static String input() {
        return AgentMain.TASKS
                + " tasks, "
                + REQUESTS_PER_SECOND
                + " req/s when loaded, "
                + MEASURE_SECONDS
                + " s";
    }

    private static Process start(Class<?> main, String... args) throws IOException {
        Path root = Path.of(System.getProperty("knapweedbank.root"));
        String options = System.getenv("AGENT_JVM_OPTIONS");
        Path file = options == null ? root.resolve("bin/agent-jvm-options") : Path.of(options);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        if (Files.exists(file)) {
            command.add("@" + file);
        }
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(main.getName());
        command.addAll(List.of(args));
        return new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static void stop(Process process) throws Exception {
        process.getOutputStream().close();
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
    }

    /** Two different ports; both sockets are open at a time, as a freed port may be given again. */
    private static int[] freePorts() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket first = new ServerSocket(0, 1, loopback);
                ServerSocket second = new ServerSocket(0, 1, loopback)) {
            return new int[] {first.getLocalPort(), second.getLocalPort()};
        }
    }
}
