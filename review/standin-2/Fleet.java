import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: entries and agents as processes with the commands of the deploy
 * file, stand-ins of the store and the workers. Each machine has a loopback address of its own.
 */
final class Fleet implements AutoCloseable {
    static final String SERVICE = "desk";
    static final String HOST = "desk.example";
    private static final String PREFIX = "/q/";
    private static final int FRONT_PORT = 8161;
    private static final int READY_PORT = 8167;
    private static final int CONTROL_PORT = 8166;
    private static final int APP_PORT = 8360;
    private static final int STORE_PORT = 8169;
    private static final int FIRST_LINK_PORT = 7720;
    private static final int METRICS_PORT = 9464;

    /** Port at which a proxy passes the agent's calls on to the worker. */
    private static final int APP_PROXY_PORT = 8361;

    /** Port at which a proxy passes the worker's reports on to the agent. */
    private static final int CONTROL_PROXY_PORT = 8266;

    /** Bounds of the small sites that the cases use, in milliseconds. */
    static final long CANCEL_MS = 3_000;

    static final long CONTACT_MS = 3_000;

    /** A process of the project on a machine. */
    static final class Machine {
        String name;
        String zone;
        String host;
        Path settings;
        List<String> command;
        Process process;
    }

    final Record record;
    final Store store;
    final List<Machine> entries = new ArrayList<>();
    final List<Machine> agents = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();

    /** Between each worker and the control address of its agent. */
    final List<Proxy> reportProxies = new ArrayList<>();

    /** Between each agent and its worker. */
    final List<Proxy> callProxies = new ArrayList<>();

    /** All runs on all workers, in the order of their starts. */
    final List<Worker.Run> runs = new ArrayList<>();

    private final String network = freeNetwork();
    private final Path folder = Files.createTempDirectory("review");
    private final Thread shutdownHook = new Thread(this::endProcesses);

    /** Describes a deployment with zones of one entry and some agents each; nothing runs yet. */
    Fleet(Record record, int zones, int agentsPerZone) throws IOException {
        this.record = record;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        store = new Store(storeHost(), STORE_PORT);
        store.operatorPut("op/config", manifest());
        for (int zone = 0; zone < zones; zone++) {
            entries.add(machine("entry", "front", zone, zone));
            for (int i = 0; i < agentsPerZone; i++) {
                agents.add(machine("agent", "side", zone, agents.size()));
            }
        }
    }

    /** Starts all machines and workers. The first entry starts alone and becomes the owner. */
    void start() throws IOException, InterruptedException {
        start(entries.get(0));
        waitUntilReady(entries.get(0));
        for (Machine entry : entries.subList(1, entries.size())) {
            start(entry);
        }
        for (int i = 0; i < agents.size(); i++) {
            Machine agent = agents.get(i);
            start(agent);
            reportProxies.add(
                    new Proxy(agent.host, CONTROL_PROXY_PORT, agent.host, CONTROL_PORT));
            callProxies.add(new Proxy(agent.host, APP_PROXY_PORT, agent.host, APP_PORT));
            workers.add(worker(i));
        }
        for (Machine entry : entries) {
            waitUntilReady(entry);
        }
        record.line("the owner is " + owner().name);
    }

    /** Starts another life of a worker that has crashed, under the id that it had. */
    void restart(int number) throws IOException {
        workers.set(number, worker(number));
        record.line("worker w" + number + " starts again under its id");
    }

    private Worker worker(int number) throws IOException {
        Machine agent = agents.get(number);
        return new Worker(
                record,
                runs,
                "w" + number,
                agent.host,
                APP_PORT,
                agent.host + ":" + APP_PROXY_PORT,
                agent.host + ":" + CONTROL_PROXY_PORT,
                "r-" + agent.zone);
    }

    /** Starts the process of a machine. */
    void start(Machine machine) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(machine.command);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("KNAPWEEDBANK_CONFIG", machine.settings.toString());
        builder.redirectErrorStream(true);
        Path log = folder.resolve(machine.name + ".log");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        machine.process = builder.start();
        record.line("started " + machine.name + " in " + machine.zone);
    }

    /** Sends a signal, such as "STOP", to the process of a machine. */
    void signal(Machine machine, String signal) throws IOException, InterruptedException {
        record.line("SIG" + signal + " to " + machine.name);
        String pid = Long.toString(machine.process.pid());
        new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    }

    /** Returns the entry that owns the jobs according to the store. */
    Machine owner() {
        String value = store.text("kb/m/owner");
        for (Machine entry : entries) {
            if (value.startsWith(entry.name + "\n")) {
                return entry;
            }
        }
        throw new IllegalStateException("there is no owner: " + value);
    }

    /** Calls an entry about a submission and records the request and the answer. */
    Http.Answer call(
            HttpClient client, Machine entry, String method, String id, String body, int timeoutMs) {
        record.line("client sends " + method + " " + id + " to " + entry.name);
        String url = "http://" + entry.host + ":" + FRONT_PORT + PREFIX + id;
        Http.Answer answer = Http.call(client, method, url, HOST, body, timeoutMs);
        record.line(
                entry.name + " answers " + method + " " + id + ": "
                        + (answer.status() == 0 ? "nothing" : answer.status())
                        + " " + answer.body());
        return answer;
    }

    /** Waits until each worker has run a task, so that all agents are known to the owner. */
    void warmUp() throws InterruptedException {
        HttpClient client = Http.client();
        String body =
                "{\"spec\":\"200\",\"steps\":[{\"count\":" + agents.size()
                        + ",\"cpu\":1000,\"mem_mb\":1000,\"estimate_ms\":200,\"max_per_server\":1}]}";
        long endMs = Record.now() + 20_000;
        String id = "00000000000000a0";
        while (call(client, entries.get(0), "POST", id, body, 3_000).status() != 200) {
            failAfter(endMs, "no submission is accepted");
        }
        while (!call(client, entries.get(0), "GET", id, "", 3_000).body().contains("completed")) {
            failAfter(endMs, "the first submission is not completed");
        }
    }

    /** Returns the runs of a submission's tasks so far. */
    List<Worker.Run> runsOf(String id) {
        synchronized (runs) {
            return runs.stream().filter(run -> run.task.startsWith(id + ".")).toList();
        }
    }

    @Override
    public void close() {
        endProcesses();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }

    private synchronized void endProcesses() {
        List<Machine> machines = Stream.concat(entries.stream(), agents.stream()).toList();
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
        String kept = System.getenv("KEEP_LOGS");
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                if (kept == null) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (kept != null) {
            System.out.println("logs are kept in " + folder);
        }
    }

    private void waitUntilReady(Machine entry) throws InterruptedException {
        HttpClient client = Http.client();
        String url = "http://" + entry.host + ":" + READY_PORT + "/api/ready";
        long endMs = Record.now() + 30_000;
        while (Http.call(client, "GET", url, "", "", 1_000).status() != 200) {
            failAfter(endMs, entry.name + " is not ready");
        }
    }

    private static void failAfter(long endMs, String reason) throws InterruptedException {
        if (Record.now() > endMs) {
            throw new IllegalStateException(reason);
        }
        Thread.sleep(100);
    }

    private Machine machine(String role, String machineClass, int zone, int number)
            throws IOException {
        Machine machine = new Machine();
        machine.name = role + "-" + number;
        machine.zone = "zone-" + zone;
        machine.host = network + (machineClass.equals("front") ? 1 + number : 100 + number);
        machine.command = command(role);
        machine.settings = folder.resolve(machine.name + ".json");
        Files.writeString(machine.settings, settings(machine, role, machineClass).toString());
        return machine;
    }

    /** Returns the words of a role's run line in the deploy file. */
    private static List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            inRole = line.startsWith("[") ? line.equals("[roles." + role + "]") : inRole;
            if (inRole && line.startsWith("run = ")) {
                return List.of(line.substring("run = \"".length(), line.length() - 1).split(" "));
            }
        }
        throw new IOException("no role " + role + " in the deploy file");
    }

    private ObjectNode settings(Machine machine, String role, String machineClass) {
        boolean front = machineClass.equals("front");
        ObjectNode settings = Http.JSON.createObjectNode();
        settings.put("node", machine.name).put("role", role).put("machine_class", machineClass);
        settings.putArray("serves").add(machineClass);
        settings.put("ip", machine.host).put("zone", machine.zone).put("region", "region");
        settings.putArray("port_range").add(FIRST_LINK_PORT).add(FIRST_LINK_PORT + 15);
        settings.putArray("seeds");
        settings.put("bootstrap", true).put("discovery", "local").put("entry", "vip");
        settings.put("heartbeat_ms", 1_500).put("orders", "call");
        ObjectNode listen = settings.putObject("listen");
        if (front) {
            listen.put("front", machine.host + ":" + FRONT_PORT);
            listen.put("ready", machine.host + ":" + READY_PORT);
        } else {
            listen.put("control", machine.host + ":" + CONTROL_PORT);
            settings.put("app", machine.host + ":" + APP_PROXY_PORT);
        }
        settings.putObject("limits")
                .put("cpu_share", front ? 0.3 : 0.45)
                .put("cores", 1)
                .put("memory_mb", front ? 430 : 298)
                .put("max_fds", 4_100);
        settings.putObject("fault_tolerance").put("machines", 2).put("zones", 1).put("regions", 0);
        settings.putObject("bounds")
                .put("contact_ms", CONTACT_MS)
                .put("ack_ms", 4_000)
                .put("drain_ms", 2_000)
                .put("grace_s", 6)
                .put("config_apply_ms", 2_000)
                .put("evacuate_ms", 5_000)
                .put("recovery_s", 12)
                .put("max_hold_ms", 10_000)
                .put("stop_timeout_ms", 200)
                .put("cancel_ms", CANCEL_MS)
                .put("visible_ms", 3_000)
                .put("finish_s", 14)
                .put("status_s", 120)
                .put("cross_rack_factor", 1.5);
        settings.putObject("platform")
                .put("address", storeHost() + ":" + STORE_PORT)
                .put("form", "kv")
                .put("writes_per_s", 400)
                .put("reads_per_s", 2_000)
                .put("history_s", 20)
                .put("value_bytes", 1_048_576)
                .put("min_ttl_ms", 1_000);
        return settings;
    }

    private String storeHost() {
        return network + 250;
    }

    private static String manifest() {
        ObjectNode manifest = Http.JSON.createObjectNode().put("version", 3);
        ArrayNode routes = manifest.putArray("routes");
        routes.addObject()
                .put("name", "desk")
                .put("host", HOST)
                .put("prefix", PREFIX)
                .put("service", SERVICE)
                .put("timeout_ms", 3_000)
                .put("target_latency_ms", 250)
                .put("priority", 0)
                .put("max_attempts", 3)
                .put("stretch", 1.5);
        manifest.putArray("services").addObject().put("name", SERVICE).put("admission_check", false);
        manifest.putObject("limits").put("max_body_bytes", 262_144);
        return manifest.toString();
    }

    /** Returns the first three parts of a loopback network on which the ports are free. */
    private static String freeNetwork() throws IOException {
        Random random = new Random();
        while (true) {
            String network = "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + ".";
            boolean free = true;
            for (int port :
                    List.of(FRONT_PORT, READY_PORT, CONTROL_PORT, APP_PORT, APP_PROXY_PORT, STORE_PORT,
                            CONTROL_PROXY_PORT, FIRST_LINK_PORT, METRICS_PORT)) {
                try (ServerSocket socket =
                        new ServerSocket(port, 1, InetAddress.getByName(network + 1))) {
                    free &= socket.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return network;
            }
        }
    }
}
