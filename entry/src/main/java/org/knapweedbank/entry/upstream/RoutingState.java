package org.knapweedbank.entry.upstream;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.entry.EntrySettings;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.routing.Admission;
import org.knapweedbank.routing.AdmissionController;
import org.knapweedbank.routing.EjectionSettings;
import org.knapweedbank.routing.NetworkDelays;
import org.knapweedbank.routing.OutlierEjector;
import org.knapweedbank.routing.PlanEvent;
import org.knapweedbank.routing.SelectorSettings;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.routing.UpstreamLoad;
import org.knapweedbank.routing.UpstreamSelector;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.DaemonRole;
import org.knapweedbank.wire.FrameClient;
import org.knapweedbank.wire.FrameCodec;
import org.knapweedbank.wire.FrameTimeouts;
import org.knapweedbank.wire.Hello;
import org.knapweedbank.wire.LoadReport;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.UpstreamRecord;

/**
 * Upstreams of all services, the connections to their agents and the configuration as far as
 * requests depend on it. Used on the routing event loop only.
 */
public final class RoutingState implements AgentConnection.Listener {
    private final EntrySettings mSettings;
    private final Vertx mVertx;
    private final Clock mClock;
    private final FrameClient mClient;
    private final Hello mHello;
    private final NetworkDelays mNetwork;
    private final UniformRandomProvider mRandom;
    private final AdmissionController mAdmission = new AdmissionController();
    private final Map<String, ServiceRouting> mServices = new HashMap<>();
    private final Map<UpstreamKey, UpstreamRecord> mRecords = new HashMap<>();
    private final Map<String, AgentConnection> mConnections = new HashMap<>();
    private final Counter mLateFrames;
    private Optional<SiteConfiguration> mConfiguration = Optional.empty();

    /**
     * Creates a state without upstreams and configuration.
     *
     * @param settings settings of the entry
     * @param vertx event loops
     * @param clock clock
     * @param registry receives the metrics
     */
    public RoutingState(EntrySettings settings, Vertx vertx, Clock clock, MetricRegistry registry) {
        mSettings = settings;
        mVertx = vertx;
        mClock = clock;
        mClient = new FrameClient(vertx, FrameTimeouts.DEFAULT, registry);
        mHello =
                new Hello(
                        DaemonRole.ENTRY,
                        settings.daemon(),
                        settings.incarnation(),
                        settings.dataCentre(),
                        FrameCodec.MIN_VERSION,
                        FrameCodec.MAX_VERSION);
        mNetwork = new NetworkDelays(settings.dataCentre(), SelectorSettings.DEFAULT);
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
        mLateFrames = registry.counter("entry.late-frames");
    }

    /**
     * Takes over a configuration.
     *
     * @param configuration the configuration
     */
    public void configure(SiteConfiguration configuration) {
        mConfiguration = Optional.of(configuration);
        Set<DataCentreId> removed = configuration.removed();
        mServices.values().forEach(service -> service.selector().removedDataCentres(removed));
    }

    /**
     * The configuration in force.
     *
     * @return the configuration, or empty before one is known
     */
    public Optional<SiteConfiguration> configuration() {
        return mConfiguration;
    }

    /**
     * Takes over a record that is newer than those before for the same upstream.
     *
     * @param record the record; a record that is gone removes the upstream
     */
    public void put(UpstreamRecord record) {
        UpstreamKey key = UpstreamKey.of(record);
        if (record.state().gone()) {
            remove(key);
            return;
        }
        UpstreamRecord old = mRecords.put(key, record);
        if (old != null && !old.agentAddress().equals(record.agentAddress())) {
            closeUnused(old.agentAddress());
        }
        AgentConnection connection = mConnections.get(record.agentAddress());
        if (connection == null) {
            connection =
                    new AgentConnection(
                            record.agentAddress(), mVertx, mClient, mHello, mClock, this);
            mConnections.put(record.agentAddress(), connection);
            connection.connect();
        }
        update(record, connection.up());
    }

    /**
     * Removes an upstream; no effect if it is not known.
     *
     * @param key the upstream
     */
    public void remove(UpstreamKey key) {
        UpstreamRecord old = mRecords.remove(key);
        if (old != null) {
            service(key.service()).selector().remove(key.id());
            closeUnused(old.agentAddress());
        }
    }

    /**
     * Routing state of a service.
     *
     * @param name name of the service
     * @return the state, created if needed
     */
    public ServiceRouting service(String name) {
        return mServices.computeIfAbsent(name, ignored -> newService());
    }

    /**
     * Admits a request.
     *
     * @param service the service
     * @param limit open requests allowed for the service
     * @param remaining time left for the answer
     * @return the decision
     */
    public Admission admit(String service, int limit, Duration remaining) {
        Duration expected = service(service).expectedDelay().orElse(Duration.ZERO);
        return mAdmission.admit(service, limit, remaining, expected);
    }

    /**
     * Ends an admitted request.
     *
     * @param service the service
     */
    public void release(String service) {
        mAdmission.release(service);
    }

    /**
     * Sends an attempt to the agent of an upstream.
     *
     * @param service the service
     * @param upstream the upstream
     * @param attempt number of the attempt
     * @param listener receives what happens; told at once when nothing could be written
     * @param request builds the message for an id
     * @return the call, or empty when the upstream is not known
     */
    public Optional<AgentCall> send(
            String service,
            UpstreamId upstream,
            int attempt,
            AttemptListener listener,
            LongFunction<Message> request) {
        UpstreamKey key = new UpstreamKey(upstream.agent(), service, upstream.address());
        UpstreamRecord record = mRecords.get(key);
        AgentConnection connection =
                record == null ? null : mConnections.get(record.agentAddress());
        if (connection == null) {
            listener.event(new PlanEvent.NotSent(attempt, "the upstream has gone"));
            return Optional.empty();
        }
        AgentCall call = new AgentCall(connection, 0, attempt, upstream, service, listener);
        return Optional.of(connection.send(call, request));
    }

    /**
     * Sends a query for a recorded answer to an agent.
     *
     * @param service the service
     * @param agent identifier of the agent
     * @param attempt number of the attempt
     * @param listener receives what happens; told at once when nothing could be written
     * @param query builds the message for an id
     * @return the call, or empty when the agent is not known
     */
    public Optional<AgentCall> query(
            String service,
            String agent,
            int attempt,
            AttemptListener listener,
            LongFunction<Message> query) {
        AgentConnection connection =
                mRecords.values().stream()
                        .filter(record -> record.agent().value().equals(agent))
                        .map(record -> mConnections.get(record.agentAddress()))
                        .findFirst()
                        .orElse(null);
        if (connection == null) {
            listener.event(new PlanEvent.NotSent(attempt, "the agent is not known"));
            return Optional.empty();
        }
        AgentCall call = new AgentCall(connection, 0, attempt, null, service, listener);
        return Optional.of(connection.send(call, query));
    }

    /**
     * Tells whether an upstream may get new work.
     *
     * @param service the service
     * @param upstream the upstream
     * @return false if it is leaving, removed, ejected, not known, or its agent is not connected
     */
    public boolean available(String service, UpstreamId upstream) {
        return service(service).selector().available(upstream);
    }

    /** Closes all connections. */
    public void close() {
        mConnections.values().forEach(AgentConnection::close);
        mConnections.clear();
        mClient.close();
    }

    @Override
    public void up(AgentConnection connection, long roundTripNanos) {
        for (UpstreamRecord record : mRecords.values()) {
            if (record.agentAddress().equals(connection.address())) {
                mNetwork.observe(record.dataCentre(), roundTripNanos);
                update(record, true);
            }
        }
    }

    @Override
    public void down(AgentConnection connection) {
        for (UpstreamRecord record : mRecords.values()) {
            if (record.agentAddress().equals(connection.address())) {
                update(record, false);
            }
        }
        mVertx.runOnContext(ignored -> closeUnused(connection.address()));
    }

    @Override
    public void load(AgentCall call, LoadReport load) {
        if (call.upstream() == null || load == null) {
            return;
        }
        service(call.service())
                .selector()
                .reported(
                        call.upstream(),
                        new UpstreamLoad(
                                load.running(),
                                load.queued(),
                                load.slots(),
                                load.serviceMicros(),
                                load.leaving()));
    }

    @Override
    public void leaving(AgentCall call) {
        if (call.upstream() != null) {
            service(call.service()).selector().leaving(call.upstream());
        }
    }

    @Override
    public void lateFrame() {
        mLateFrames.inc();
    }

    private void update(UpstreamRecord record, boolean connected) {
        UpstreamKey key = UpstreamKey.of(record);
        service(key.service())
                .selector()
                .put(
                        key.id(),
                        record.dataCentre(),
                        record.state().slots(),
                        record.state().leaving() || !connected);
    }

    private void closeUnused(String address) {
        Set<String> used = new HashSet<>();
        mRecords.values().forEach(record -> used.add(record.agentAddress()));
        AgentConnection connection = mConnections.get(address);
        // Open requests keep the connection of an upstream that has left.
        if (connection != null && !used.contains(address) && connection.open() == 0) {
            mConnections.remove(address);
            connection.close();
        }
    }

    private ServiceRouting newService() {
        UpstreamSelector selector =
                new UpstreamSelector(
                        mSettings.dataCentre(),
                        SelectorSettings.DEFAULT,
                        mNetwork,
                        new OutlierEjector(EjectionSettings.DEFAULT, mClock),
                        mClock,
                        mRandom);
        mConfiguration.ifPresent(site -> selector.removedDataCentres(site.removed()));
        return new ServiceRouting(selector, mClock);
    }
}
