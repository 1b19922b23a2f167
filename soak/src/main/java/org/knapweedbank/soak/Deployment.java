package org.knapweedbank.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.knapweedbank.time.Clock;

/**
 * Entries and agents as processes on loopback, with a proxy between each process and the store and
 * between each agent and its worker. Each VM has a loopback address of its own, since the port of
 * the metrics is the same on all VMs.
 */
final class Deployment implements AutoCloseable {
    static final String QUEUE_HOST = "queue.example";
    static final String QUEUE_PREFIX = "/q/";

    /** Number of failed runs of a task after which its job fails. */
    static final int MAX_ATTEMPTS = 3;

    static final Duration STOP_GRACE = Duration.ofSeconds(6);

    /** Shorter than the default, so that owners of a short run refuse jobs under overload. */
    private static final Duration ADMISSION_WARM_UP = Duration.ofSeconds(3);

    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration READINESS_TIMEOUT = Duration.ofSeconds(1);
    private static final String SERVICE = "batch";
    private static final String OWNER_KEY = "kb/m/owner";
    private static final int METRICS_PORT = 9464;
    private static final int CALLER_PORT = 8161;
    private static final int READINESS_PORT = 8167;
    private static final int CONTROL_PORT = 8166;
    private static final int STORE_PORT = 8169;
    private static final int WORKER_PORT = 8360;
    private static final int WORKER_PROXY_PORT = 8361;
    private static final int FIRST_LINK_PORT = 7720;
    private static final int LINK_PORTS = 16;
    private static final List<Integer> PORTS =
            List.of(
                    METRICS_PORT,
                    CALLER_PORT,
                    READINESS_PORT,
                    CONTROL_PORT,
                    STORE_PORT,
                    WORKER_PORT,
                    WORKER_PROXY_PORT,
                    FIRST_LINK_PORT);

    /** Slowest clock of a worker that the platform allows. */
    private static final double MIN_CLOCK_RATE = 0.98;

    private final RoleCommands mCommands;
    private final Path mFolder;
    private final String mNetwork = freeNetwork();
    private final StoreStandIn mStore;
    private final List<RoleProcess> mEntries = new ArrayList<>();
    private final List<RoleProcess> mAgents = new ArrayList<>();
    private final List<WorkerStandIn> mWorkers = new ArrayList<>();
    private final List<Proxy> mWorkerProxies = new ArrayList<>();
    private final List<Proxy> mStoreProxies = new ArrayList<>();
    private final Thread mShutdownHook = new Thread(this::closeAll);

    Deployment(
            Clock clock,
            RunHistory history,
            RoleCommands commands,
            Path folder,
            DeploymentSize size,
            UniformRandomProvider random)
            throws IOException {
        mCommands = commands;
        mFolder = folder;
        Runtime.getRuntime().addShutdownHook(mShutdownHook);
        mStore = new StoreStandIn(clock, storeHost(), STORE_PORT);
        mStore.operatorPut("op/config", configuration());
        for (int i = 0; i < size.entries(); i++) {
            addEntry(i, random.nextLong());
        }
        for (int i = 0; i < size.workers(); i++) {
            addAgent(i, random.nextLong());
            double rate = MIN_CLOCK_RATE + (1 - MIN_CLOCK_RATE) * random.nextDouble();
            WorkerStandIn.Place place =
                    new WorkerStandIn.Place(
                            "w-" + i,
                            SERVICE,
                            agentHost(i),
                            WORKER_PORT,
                            agentHost(i) + ":" + WORKER_PROXY_PORT,
                            agentHost(i) + ":" + CONTROL_PORT,
                            rate);
            mWorkers.add(new WorkerStandIn(clock, history, place));
            mWorkerProxies.add(
                    new Proxy(
                            agentHost(i),
                            WORKER_PROXY_PORT,
                            new InetSocketAddress(agentHost(i), WORKER_PORT),
                            random.nextLong()));
        }
    }

    /** Starts all processes and workers and waits until an entry is ready. */
    void start() throws IOException, InterruptedException {
        for (RoleProcess process : processes()) {
            process.start();
        }
        for (WorkerStandIn worker : mWorkers) {
            worker.start(0);
        }
        HttpClient client = HttpJson.client();
        String url = "http://" + entryHost(0) + ":" + READINESS_PORT + "/api/ready";
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!HttpJson.call(client, "GET", url, "", "", READINESS_TIMEOUT).isSuccess()) {
            if (System.nanoTime() > deadline) {
                throw new IOException("no entry is ready after " + START_TIMEOUT);
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    /** Returns the process that owns the scheduling according to the store, else any entry. */
    RoleProcess owner() {
        String record = mStore.value(OWNER_KEY).orElse("");
        return mEntries.stream()
                .filter(entry -> record.startsWith(entry.name() + "\n"))
                .findFirst()
                .orElse(mEntries.get(0));
    }

    RoleProcess agent(int number) {
        return mAgents.get(number);
    }

    WorkerStandIn worker(int number) {
        return mWorkers.get(number);
    }

    Proxy workerProxy(int number) {
        return mWorkerProxies.get(number);
    }

    /** Returns the proxy between a process and the store; entries are counted first. */
    Proxy storeProxy(int process) {
        return mStoreProxies.get(process);
    }

    /** Returns the proxies in front of the workers and of the store. */
    List<Proxy> proxies() {
        return Stream.concat(mWorkerProxies.stream(), mStoreProxies.stream()).toList();
    }

    StoreStandIn store() {
        return mStore;
    }

    List<RoleProcess> processes() {
        return Stream.concat(mEntries.stream(), mAgents.stream()).toList();
    }

    /** Returns the URLs at which the entries take jobs. */
    List<String> callerUrls() {
        return Stream.iterate(0, i -> i + 1)
                .limit(mEntries.size())
                .map(i -> "http://" + entryHost(i) + ":" + CALLER_PORT + QUEUE_PREFIX)
                .toList();
    }

    @Override
    public void close() {
        closeAll();
        Runtime.getRuntime().removeShutdownHook(mShutdownHook);
    }

    private synchronized void closeAll() {
        processes().forEach(RoleProcess::close);
        mWorkers.forEach(WorkerStandIn::close);
        mWorkerProxies.forEach(Proxy::close);
        mStoreProxies.forEach(Proxy::close);
        mStore.close();
    }

    private String entryHost(int number) {
        return mNetwork + (1 + number);
    }

    private String agentHost(int number) {
        return mNetwork + (100 + number);
    }

    private String storeHost() {
        return mNetwork + 250;
    }

    private void addEntry(int number, long seed) throws IOException {
        String host = entryHost(number);
        ObjectNode settings = settings("entry-" + number, host, seed);
        settings.putObject("listen")
                .put("front", host + ":" + CALLER_PORT)
                .put("ready", host + ":" + READINESS_PORT);
        mEntries.add(process("entry-" + number, "entry", settings));
    }

    private void addAgent(int number, long seed) throws IOException {
        String host = agentHost(number);
        ObjectNode settings = settings("agent-" + number, host, seed);
        settings.putObject("listen").put("control", host + ":" + CONTROL_PORT);
        settings.put("app", host + ":" + WORKER_PROXY_PORT);
        mAgents.add(process("agent-" + number, "agent", settings));
    }

    private RoleProcess process(String name, String role, ObjectNode settings) throws IOException {
        Path file = mFolder.resolve(name + ".json");
        Files.writeString(file, withScheduling(settings).toString());
        return new RoleProcess(name, mCommands.command(role), file, mFolder.resolve(name + ".log"));
    }

    /** Adds the optional parts of scheduling, all enabled, to the settings of the platform. */
    private static ObjectNode withScheduling(ObjectNode settings) {
        ObjectNode file = HttpJson.object();
        file.set("deployment", settings);
        ObjectNode scheduling = file.putObject("scheduling");
        scheduling.putObject("reservations").put("enabled", true);
        scheduling
                .putObject("admission")
                .put("enabled", true)
                .put("warmUpMillis", ADMISSION_WARM_UP.toMillis());
        return file;
    }

    private ObjectNode settings(String node, String host, long seed) throws IOException {
        mStoreProxies.add(
                new Proxy(host, STORE_PORT, new InetSocketAddress(storeHost(), STORE_PORT), seed));
        ObjectNode settings = HttpJson.object();
        settings.put("node", node).put("ip", host).put("zone", "zone-a");
        settings.putArray("port_range").add(FIRST_LINK_PORT).add(FIRST_LINK_PORT + LINK_PORTS - 1);
        settings.putObject("limits").put("cpu_share", 1.0);
        settings.putObject("platform")
                .put("address", host + ":" + STORE_PORT)
                .put("min_ttl_ms", 1_000);
        settings.putObject("bounds")
                .put("max_hold_ms", 10_000)
                .put("evacuate_ms", 5_000)
                .put("config_apply_ms", 2_000)
                .put("grace_s", STOP_GRACE.toSeconds())
                .put("status_s", 120)
                .put("cross_rack_factor", 1.5);
        return settings;
    }

    private static String configuration() {
        ObjectNode configuration = HttpJson.object().put("version", 1);
        configuration
                .putArray("routes")
                .addObject()
                .put("name", "queue")
                .put("host", QUEUE_HOST)
                .put("prefix", QUEUE_PREFIX)
                .put("service", SERVICE)
                .put("timeout_ms", 3_000)
                .put("target_latency_ms", 250)
                .put("priority", 0)
                .put("max_attempts", MAX_ATTEMPTS)
                .put("stretch", 1.5);
        configuration
                .putArray("services")
                .addObject()
                .put("name", SERVICE)
                .put("admission_check", false);
        configuration.putObject("limits").put("max_body_bytes", 262_144);
        return configuration.toString();
    }

    /** Returns the first three parts of a loopback network on which all used ports are free. */
    private static String freeNetwork() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        while (true) {
            String network = "127." + random.nextInt(1, 250) + "." + random.nextInt(1, 250) + ".";
            if (PORTS.stream().allMatch(port -> isFree(network + 1, port))) {
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
