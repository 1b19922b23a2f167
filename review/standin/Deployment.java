package standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the project's entry and agents as separate processes, started with
 * the commands of deploy/system.toml, and stand-ins of the store, the workers and the callers. Each
 * VM has a loopback address of its own, since the port of the metrics is the same on all VMs.
 */
public final class Deployment implements AutoCloseable {
    public static final String QUEUE_HOST = "desk.example";
    public static final String QUEUE_PREFIX = "/q/";
    private static final String SERVICE = "mostrador";
    private static final int CALLER_PORT = 8161;
    private static final int READY_PORT = 8167;
    private static final int CONTROL_PORT = 8166;
    private static final int STORE_PORT = 8169;
    private static final int WORKER_PORT = 8360;
    private static final int FIRST_LINK_PORT = 7720;

    private final Record mRecord;
    private final String mNetwork;
    private final Path mFolder;
    private final Map<String, Process> mProcesses = new HashMap<>();
    private final List<Process> mAllProcesses = new ArrayList<>();
    private final Store mStore;

    public Deployment(Record record) throws IOException {
        mRecord = record;
        mNetwork = freeNetwork();
        mFolder = Files.createTempDirectory("knapweedbank-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        mStore = new Store(record, mNetwork + 200, STORE_PORT);
        mStore.operatorPut("op/config", manifest());
        record.line("deployment on " + mNetwork + "0, settings and logs in a temporary folder");
    }

    /** Returns a worker on the VM of an agent; it isn't started yet. */
    public Worker worker(int number, long milliCpu, long memoryMb) {
        String host = mNetwork + (10 + number);
        return new Worker(
                mRecord,
                "i-" + number,
                host,
                WORKER_PORT,
                host + ":" + CONTROL_PORT,
                SERVICE,
                milliCpu,
                memoryMb);
    }

    /** Returns the address at which an agent takes the status reports of its worker. */
    public String controlAddress(int number) {
        return mNetwork + (10 + number) + ":" + CONTROL_PORT;
    }

    public Store store() {
        return mStore;
    }

    public void startEntry() throws IOException {
        String host = mNetwork + "1";
        ObjectNode settings = settings("front-1", "entry", host);
        settings.putObject("listen")
                .put("front", host + ":" + CALLER_PORT)
                .put("ready", host + ":" + READY_PORT);
        start("front-1", "entry", settings);
    }

    public void startAgent(int number) throws IOException {
        String host = mNetwork + (10 + number);
        ObjectNode settings = settings("side-" + number, "agent", host);
        settings.putObject("listen").put("control", host + ":" + CONTROL_PORT);
        settings.put("app", host + ":" + WORKER_PORT).put("service", SERVICE);
        start("side-" + number, "agent", settings);
    }

    /** Kills the process of a node, "front-1" or "side-N", with SIGKILL. */
    public void kill(String node) throws InterruptedException {
        mRecord.line("SIGKILL to " + node);
        Process process = mProcesses.get(node);
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Waits until the entry says that it is ready; ends the case if it never does. */
    public void awaitReady() {
        for (int i = 0; i < 150; i++) {
            String address = mNetwork + "1:" + READY_PORT;
            if (Http.call("GET", address, "/api/ready", "", "", 500).status() == 200) {
                mRecord.line("the entry is ready");
                return;
            }
            Http.sleep(100);
        }
        throw new IllegalStateException("the entry isn't ready after 15 s");
    }

    /** Sends a caller's request to the queue and records its answer. */
    public Http.Answer call(String method, String id, String body) {
        String address = mNetwork + "1:" + CALLER_PORT;
        Http.Answer answer =
                Http.call(method, address, QUEUE_PREFIX + id, QUEUE_HOST, body, 3_000);
        mRecord.line(
                method + " " + id + " " + body + " -> " + answer.status() + " " + answer.body());
        return answer;
    }

    @Override
    public synchronized void close() {
        mAllProcesses.forEach(Process::destroyForcibly);
        for (Process process : mAllProcesses) {
            process.onExit().join();
        }
        mAllProcesses.clear();
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder is gone already.
        }
    }

    private static String manifest() {
        return "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\""
                + QUEUE_HOST
                + "\",\"prefix\":\""
                + QUEUE_PREFIX
                + "\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":250,"
                + "\"priority\":0,\"service\":\""
                + SERVICE
                + "\",\"max_attempts\":3,\"stretch\":1.5}],\"services\":[{\"name\":\""
                + SERVICE
                + "\",\"admission_check\":false}],\"limits\":{\"max_body_bytes\":262144}}";
    }

    /** Returns the settings that both roles share, with the bounds of sites/smao-heredia.toml. */
    private ObjectNode settings(String node, String role, String host) {
        ObjectNode settings = Http.object();
        settings.put("node", node).put("role", role).put("ip", host);
        settings.put("zone", "zone-a").put("region", "region-a");
        settings.putArray("port_range").add(FIRST_LINK_PORT).add(FIRST_LINK_PORT + 15);
        settings.put("heartbeat_ms", Worker.HEARTBEAT_MILLIS).put("orders", "call");
        settings.putObject("limits").put("cpu_share", 1.0).put("cores", 1);
        settings.putObject("platform")
                .put("address", mNetwork + 200 + ":" + STORE_PORT)
                .put("min_ttl_ms", 1000);
        settings.putObject("bounds")
                .put("max_hold_ms", 10_000)
                .put("evacuate_ms", 5_000)
                .put("config_apply_ms", 2_000)
                .put("grace_s", 6)
                .put("status_s", 120)
                .put("cross_rack_factor", 1.5);
        return settings;
    }

    private void start(String node, String role, ObjectNode settings) throws IOException {
        Path file = mFolder.resolve(node + ".json");
        Files.writeString(file, settings.toString());
        ProcessBuilder builder = new ProcessBuilder(runCommand(role));
        builder.environment().put("KNAPWEEDBANK_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(mFolder.resolve(node + ".log").toFile()));
        Process process = builder.start();
        mProcesses.put(node, process);
        mAllProcesses.add(process);
        mRecord.line("started " + node + " as " + role);
    }

    /** Returns the words of the run line of a role in deploy/system.toml. */
    private static List<String> runCommand(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                return List.of(line.substring("run = \"".length(), line.length() - 1).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no run line for " + role);
    }

    /** Returns the first three parts of a loopback network on which all used ports are free. */
    private static String freeNetwork() {
        while (true) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String network = "127." + random.nextInt(16, 250) + "." + random.nextInt(1, 250) + ".";
            if (isFree(network + 1, 9464)
                    && isFree(network + 1, CALLER_PORT)
                    && isFree(network + 1, READY_PORT)
                    && isFree(network + 1, FIRST_LINK_PORT)
                    && isFree(network + 11, CONTROL_PORT)
                    && isFree(network + 11, WORKER_PORT)
                    && isFree(network + 200, STORE_PORT)) {
                return network;
            }
        }
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
