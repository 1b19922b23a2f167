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

/** Settings of a daemon, by role. */
public sealed interface DaemonSettings {
    /**
     * Settings of an entry.
     *
     * @param daemon identifier of the daemon
     * @param dataCentre own data centre
     * @param host host under which agents and other entries reach this daemon
     * @param callers listener for callers
     * @param frames listener for agents and other entries
     * @param operators listener for operators
     * @param operatorKeys file with the bearer keys of the operators
     * @param storeEndpoints HOST:PORT of each gateway of the key-value service
     * @param limits limits for the requests of callers
     * @param control times and limits of the control duty
     * @param drainDelay time between the failing health check and the refusal of new requests
     * @param drainTimeout longest time that a graceful stop waits for the requests in flight
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
     * @param agent settings of the role
     * @param worker HOST:PORT of the worker beside the agent
     */
    record Agent(AgentSettings agent, String worker) implements DaemonSettings {}
}
