package org.knapweedbank.bench.quickstart;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts and stops the processes of the quickstart and writes their settings files. */
final class Deployment {
    /** Key with which the quickstart calls the operator routes. */
    static final String OPERATOR_KEY = "quickstart-operator-key";

    static final List<String> DATA_CENTRES = List.of("north", "south");
    private static final int VMS_PER_DATA_CENTRE = 2;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);

    /** Matches the ports in the line that a stand-in prints when it is ready. */
    private static final Pattern PORTS_PATTERN = Pattern.compile("port (\\d+), admin port (\\d+)");

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Path mRoot;
    private final Path mFolder;
    private final Map<String, ManagedProcess> mProcesses = new LinkedHashMap<>();
    private final List<Vm> mVms = new ArrayList<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private int mStorePort;
    private int mStoreAdminPort;

    /**
     * A worker VM with its worker, agent and upstream.
     *
     * @param id name of the VM
     * @param dataCentre its data centre
     * @param workerAdminPort port of the worker stand-in's admin interface
     * @param upstreamPort port on which the upstream serves requests
     * @param upstreamAdminPort port of the upstream stand-in's admin interface
     */
    record Vm(
            String id,
            String dataCentre,
            int workerAdminPort,
            int upstreamPort,
            int upstreamAdminPort) {}

    /**
     * An entry daemon.
     *
     * @param id name of the entry
     * @param dataCentre its data centre
     * @param callerPort port for callers
     * @param framePort port for agents and other entries
     * @param operatorPort port for operators
     */
    record Entry(String id, String dataCentre, int callerPort, int framePort, int operatorPort) {}

    /**
     * Creates a deployment without processes.
     *
     * @param root directory of the project
     * @param folder directory for logs and settings files
     */
    Deployment(Path root, Path folder) {
        mRoot = root;
        mFolder = folder;
    }

    List<Vm> vms() {
        return List.copyOf(mVms);
    }

    List<Entry> entries() {
        return List.copyOf(mEntries);
    }

    /** Returns the process with the given name. */
    ManagedProcess process(String name) {
        return mProcesses.get(name);
    }

    /** Returns the directory for logs and settings files. */
    Path folder() {
        return mFolder;
    }

    /** Returns the directory of the project. */
    Path root() {
        return mRoot;
    }

    int storeAdminPort() {
        return mStoreAdminPort;
    }

    /** Starts the stand-in of the key-value store. */
    void startStore() throws IOException, InterruptedException {
        ManagedProcess store = startStandin("store", "store");
        Matcher storePorts = awaitPorts(store);
        mStorePort = Integer.parseInt(storePorts.group(1));
        mStoreAdminPort = Integer.parseInt(storePorts.group(2));
    }

    /** Writes the operator keys and starts one entry in each data centre. */
    void startEntries() throws IOException, InterruptedException {
        Files.writeString(mFolder.resolve("operators.keys"), "quickstart:" + OPERATOR_KEY + "\n");
        for (String dataCentre : DATA_CENTRES) {
            Entry entry =
                    new Entry(
                            "entry-" + dataCentre, dataCentre, freePort(), freePort(), freePort());
            mEntries.add(entry);
            Path file = mFolder.resolve(entry.id() + ".json");
            Files.writeString(file, DaemonSettingsFiles.entry(entry, mStorePort, mFolder));
            startDaemon(entry.id(), file);
        }
    }

    /** Starts the worker, the agent and the upstream of each VM. */
    void startVms() throws IOException, InterruptedException {
        List<Vm> vmsToStart = new ArrayList<>();
        for (String dataCentre : DATA_CENTRES) {
            for (int i = 1; i <= VMS_PER_DATA_CENTRE; i++) {
                String id = dataCentre + "-" + i;
                startStandin(
                        "worker-" + id,
                        "worker",
                        "--vm",
                        id,
                        "--dc",
                        dataCentre,
                        "--milli-cpu",
                        "16000",
                        "--memory-mb",
                        "16000",
                        "--usage-lag-millis",
                        "1000");
                vmsToStart.add(new Vm(id, dataCentre, 0, 0, 0));
            }
        }
        Map<String, Integer> announcePorts = new LinkedHashMap<>();
        for (Vm vm : vmsToStart) {
            announcePorts.put(vm.id(), startAgent(vm));
        }
        for (Vm vm : vmsToStart) {
            startStandin(
                    "upstream-" + vm.id(),
                    "upstream",
                    "--service",
                    "demo",
                    "--name",
                    "upstream-" + vm.id(),
                    "--agent",
                    "127.0.0.1:" + announcePorts.get(vm.id()));
        }
        for (Vm vm : vmsToStart) {
            Matcher workerPorts = awaitPorts(process("worker-" + vm.id()));
            Matcher upstreamPorts = awaitPorts(process("upstream-" + vm.id()));
            mVms.add(
                    new Vm(
                            vm.id(),
                            vm.dataCentre(),
                            Integer.parseInt(workerPorts.group(2)),
                            Integer.parseInt(upstreamPorts.group(1)),
                            Integer.parseInt(upstreamPorts.group(2))));
        }
    }

    /** Starts the agent of a VM and returns its announcement port. */
    private int startAgent(Vm vm) throws IOException, InterruptedException {
        int workerPort = Integer.parseInt(awaitPorts(process("worker-" + vm.id())).group(1));
        int announcePort = freePort();
        Path file = mFolder.resolve("agent-" + vm.id() + ".json");
        Files.writeString(
                file,
                DaemonSettingsFiles.agent(vm, mEntries, workerPort, freePort(), announcePort));
        startDaemon("agent-" + vm.id(), file);
        return announcePort;
    }

    private void startDaemon(String name, Path settings) throws IOException {
        List<String> command =
                List.of(
                        mRoot.resolve("bin/knapweedbankd").toString(),
                        "--config",
                        settings.toString());
        mProcesses.put(name, ManagedProcess.start(name, command, mFolder, "is running"));
    }

    /** Starts a stopped daemon with the same settings, as the platform would do. */
    void restart(String name) throws IOException {
        startDaemon(name, mFolder.resolve(name + ".json"));
    }

    /** Waits until all processes are ready. */
    void awaitDaemons() throws IOException, InterruptedException {
        for (ManagedProcess process : mProcesses.values()) {
            process.awaitReady(READY_TIMEOUT);
        }
    }

    /**
     * Starts a stand-in in a JVM with little memory.
     *
     * @param name name of the process
     * @param arguments kind of the stand-in and its options
     */
    private ManagedProcess startStandin(String name, String... arguments) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                ProcessHandle.current().info().command().orElse("java"),
                                "-Xmx64m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "org.knapweedbank.standin.StandinMain"));
        command.addAll(Arrays.asList(arguments));
        ManagedProcess process = ManagedProcess.start(name, command, mFolder, "ready: port");
        mProcesses.put(name, process);
        return process;
    }

    /**
     * Waits until a stand-in is ready and returns its ports: group 1 is the port of the service,
     * group 2 the admin port.
     */
    private static Matcher awaitPorts(ManagedProcess process)
            throws IOException, InterruptedException {
        String line = process.awaitReady(READY_TIMEOUT);
        Matcher matcher = PORTS_PATTERN.matcher(line);
        if (!matcher.find()) {
            throw new IOException(process.name() + " printed a ready line without ports: " + line);
        }
        return matcher;
    }

    /** Returns a free port of the loopback interface. */
    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Runs the operator client with the given arguments. */
    CommandResult runClient(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(mRoot.resolve("bin/knapweedbank").toString());
        command.addAll(Arrays.asList(arguments));
        command.addAll(List.of("--key-file", mFolder.resolve("operator.key").toString()));
        for (Entry entry : mEntries) {
            command.addAll(List.of("--server", "127.0.0.1:" + entry.operatorPort()));
        }
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes());
        return new CommandResult(process.waitFor(), output);
    }

    /**
     * Result of a client command.
     *
     * @param exitCode exit code of the client
     * @param output standard output and standard error
     */
    record CommandResult(int exitCode, String output) {}

    /**
     * Asks processes to stop, in the given order, and kills those that have not exited after the
     * timeout.
     *
     * @param names names of the processes
     * @param timeout time to wait for each process
     * @return names of the processes that were killed
     */
    List<String> stop(List<String> names, Duration timeout) throws InterruptedException {
        names.forEach(name -> mProcesses.get(name).terminate());
        List<String> killedNames = new ArrayList<>();
        for (String name : names) {
            if (!mProcesses.get(name).awaitExit(timeout)) {
                killedNames.add(name);
            }
        }
        return killedNames;
    }

    /** Returns the names of the processes that start with a prefix. */
    List<String> processNames(String prefix) {
        return mProcesses.keySet().stream().filter(name -> name.startsWith(prefix)).toList();
    }

    /** Kills all processes that are still running. */
    void killAll() {
        mProcesses.values().stream().filter(ManagedProcess::isAlive).forEach(ManagedProcess::kill);
    }
}
