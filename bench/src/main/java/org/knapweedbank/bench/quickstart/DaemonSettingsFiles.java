package org.knapweedbank.bench.quickstart;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Creates the contents of the settings files of entries and agents. */
final class DaemonSettingsFiles {
    private DaemonSettingsFiles() {}

    /**
     * Returns the settings of an entry.
     *
     * @param entry the entry
     * @param storePort port of the key-value store
     * @param folder directory with the file of operator keys
     */
    static String entry(Deployment.Entry entry, int storePort, Path folder) {
        return """
                {
                  "role": "entry",
                  "daemon": "%s",
                  "dataCentre": "%s",
                  "host": "127.0.0.1",
                  "callers": {"host": "127.0.0.1", "port": %d},
                  "frames": {"host": "127.0.0.1", "port": %d},
                  "operators": {"host": "127.0.0.1", "port": %d},
                  "operatorKeys": "%s",
                  "store": {"endpoints": ["127.0.0.1:%d"]},
                  // Short leases, so that the tasks of a killed agent move within the run.
                  "control": {"sessionTtlMillis": 4000, "maxStoreSilenceMillis": 5000},
                  "drainDelayMillis": 1000
                }
                """
                .formatted(
                        entry.id(),
                        entry.dataCentre(),
                        entry.callerPort(),
                        entry.framePort(),
                        entry.operatorPort(),
                        folder.resolve("operators.keys"),
                        storePort);
    }

    /**
     * Returns the settings of an agent.
     *
     * @param vm VM of the agent
     * @param entries entries to which the agent may connect first
     * @param workerPort port of the worker on the VM
     * @param dataPort port on which entries send requests to the agent
     * @param announcePort port on which upstreams announce themselves
     */
    static String agent(
            Deployment.Vm vm,
            List<Deployment.Entry> entries,
            int workerPort,
            int dataPort,
            int announcePort) {
        String seeds =
                entries.stream()
                        .map(entry -> "\"127.0.0.1:" + entry.framePort() + "\"")
                        .collect(Collectors.joining(", "));
        return """
                {
                  "role": "agent",
                  "daemon": "agent-%s",
                  "vm": "%s",
                  "region": "highlands",
                  "dataCentre": "%s",
                  "rack": "rack-%s",
                  "capacity": {"milliCpu": 16000, "memoryMb": 16000, "accelerators": 0},
                  "host": "127.0.0.1",
                  "dataPort": %d,
                  "announcePort": %d,
                  "worker": "127.0.0.1:%d",
                  "seeds": [%s]
                }
                """
                .formatted(
                        vm.id(),
                        vm.id(),
                        vm.dataCentre(),
                        vm.id(),
                        dataPort,
                        announcePort,
                        workerPort,
                        seeds);
    }
}
