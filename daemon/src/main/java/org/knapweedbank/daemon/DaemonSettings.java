package org.knapweedbank.daemon;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.knapweedbank.agent.AgentSettings;
import org.knapweedbank.control.ControlSettings;
import org.knapweedbank.entry.CallerLimits;
import org.knapweedbank.entry.ListenAddress;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;

/** Settings of a daemon, with one type for each role. */
public sealed interface DaemonSettings {
    /**
     * Settings of an entry.
     *
     * @param daemon identifier of the daemon
     * @param dataCentre data centre that the entry runs in
     * @param host host name at which agents and other entries reach this daemon
     * @param callers listen address for callers
     * @param frames listen address for agents and other entries
     * @param operators listen address for operators
     * @param operatorKeys file that contains the bearer keys of the operators
     * @param storeEndpoints HOST:PORT of each gateway of the key-value store
     * @param limits limits on the requests of callers
     * @param control settings of the control duty
     * @param drainDelay time between failing the health check and rejecting new requests
     * @param drainTimeout maximum time that a graceful stop waits for requests in flight
     */
    record Entry(
            DaemonId daemon,
            DataCentreId dataCentre,
            String host,
            ListenAddress callers,
            ListenAddress frames,
            ListenAddress operators,
            Path operatorKeys,
            List<String> storeEndpoints,
            CallerLimits limits,
            ControlSettings control,
            Duration drainDelay,
            Duration drainTimeout)
            implements DaemonSettings {
        /** Copies the list. */
        public Entry {
            storeEndpoints = List.copyOf(storeEndpoints);
        }
    }

    /**
     * Settings of an agent.
     *
     * @param agent settings of the agent
     * @param worker HOST:PORT of the worker on the same VM
     */
    record Agent(AgentSettings agent, String worker) implements DaemonSettings {}
}
