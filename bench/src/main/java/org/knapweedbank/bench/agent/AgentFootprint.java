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
 * Measures resident memory, processor time and control traffic of an agent process, idle and at 50
 * requests a second. By default it starts an agent process with the JVM options of {@code
 * bin/agent-jvm-options}. The environment variable {@code AGENT_JVM_OPTIONS} names another file of
 * options, and {@code AGENT_PID} a running process that is measured instead.
 */
public final class AgentFootprint implements Benchmark {
    private static final long WARM_UP_SECONDS = 15;
    private static final long MEASURED_SECONDS = 30;
    private static final int REQUESTS_PER_SECOND = 50;
    private static final long STOP_TIMEOUT_SECONDS = 10;
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
            measurePhase("given", new ProcessReadings(Long.parseLong(pid)), null, report);
            return;
        }
        measureBaseline(report);
        FootprintPeer peer = new FootprintPeer();
        int[] ports = freePorts();
        int dataPort = ports[0];
        int announcePort = ports[1];
        String entryAddress = "127.0.0.1:" + peer.startListener();
        Process agent =
                startJvm(
                        AgentMain.class,
                        entryAddress,
                        Integer.toString(dataPort),
                        Integer.toString(announcePort));
        try {
            ProcessReadings readings = new ProcessReadings(agent.pid());
            peer.awaitSession();
            peer.startAnnouncing(announcePort);
            measurePhase("idle", readings, peer, report);
            peer.connectToAgent(dataPort);
            long loadTimer = peer.startLoad(REQUESTS_PER_SECOND);
            measurePhase("loaded", readings, peer, report);
            peer.stopLoad(loadTimer);
            double p50 = peer.latencyMicros().getValueAtPercentile(50) / 1000.0;
            add(report, "loaded.latency.p50", p50, "ms", null);
            add(report, "loaded.other", peer.unansweredRequests(), "requests", "= 0");
        } finally {
            stop(agent);
            peer.close();
        }
    }

    /** Measures the memory of an idle JVM that runs with the same options. */
    private void measureBaseline(BenchmarkReport report) throws Exception {
        Process process = startJvm(IdleMain.class);
        try {
            TimeUnit.SECONDS.sleep(3);
            double residentMemory = new ProcessReadings(process.pid()).statusMebibytes("VmRSS");
            String name = name() + ".memory";
            report.add(
                    new Figure(
                            name,
                            residentMemory,
                            "MiB",
                            null,
                            "JVM that does nothing",
                            describeInput()));
        } finally {
            stop(process);
        }
    }

    /**
     * Measures a process after a warm-up and reports its figures.
     *
     * @param phase part of the names of the figures
     * @param readings the process
     * @param peer counts the control traffic, or null if it is not measured
     * @param report receives the figures
     */
    private void measurePhase(
            String phase, ProcessReadings readings, FootprintPeer peer, BenchmarkReport report)
            throws Exception {
        TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
        double cpuSecondsBefore = readings.cpuSeconds();
        long controlBytesBefore = peer == null ? 0 : peer.controlBytes();
        long startNanos = System.nanoTime();
        double residentMemory = 0;
        for (int i = 0; i < MEASURED_SECONDS; i++) {
            TimeUnit.SECONDS.sleep(1);
            residentMemory = Math.max(residentMemory, readings.statusMebibytes("VmRSS"));
        }
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        add(report, phase + ".memory", residentMemory, "MiB", MEMORY_TARGET);
        add(report, phase + ".memory.anon", readings.statusMebibytes("RssAnon"), "MiB", null);
        add(report, phase + ".threads", readings.threadCount(), "threads", null);
        double cpuPercent = (readings.cpuSeconds() - cpuSecondsBefore) / seconds * 100;
        add(report, phase + ".cpu", cpuPercent, "% of a core", CPU_TARGET);
        if (peer != null) {
            double controlBytesPerSecond = (peer.controlBytes() - controlBytesBefore) / seconds;
            add(report, phase + ".control", controlBytesPerSecond, "B/s", CONTROL_TARGET);
        }
    }

    private void add(
            BenchmarkReport report, String figure, double value, String unit, String target) {
        report.add(new Figure(name() + "." + figure, value, unit, target, null, describeInput()));
    }

    private static String describeInput() {
        return AgentMain.TASK_COUNT
                + " tasks, "
                + REQUESTS_PER_SECOND
                + " req/s when loaded, "
                + MEASURED_SECONDS
                + " s";
    }

    /** Starts a Java process with the class path of this one and the JVM options of the agent. */
    private static Process startJvm(Class<?> mainClass, String... arguments) throws IOException {
        Path root = Path.of(System.getProperty("knapweedbank.root"));
        String optionsPath = System.getenv("AGENT_JVM_OPTIONS");
        Path optionsFile =
                optionsPath == null ? root.resolve("bin/agent-jvm-options") : Path.of(optionsPath);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        if (Files.exists(optionsFile)) {
            command.add("@" + optionsFile);
        }
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass.getName());
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    /**
     * Closes the standard input of a process, which ends it, and kills it if it is still running
     * after the timeout.
     */
    private static void stop(Process process) throws Exception {
        process.getOutputStream().close();
        if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
    }

    /**
     * Returns two different free ports. Both sockets are open at the same time, because the system
     * may assign a port again once it is closed.
     */
    private static int[] freePorts() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket first = new ServerSocket(0, 1, loopback);
                ServerSocket second = new ServerSocket(0, 1, loopback)) {
            return new int[] {first.getLocalPort(), second.getLocalPort()};
        }
    }
}
