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
 * Routing state of the entry: the upstreams of all services, the data connections to their agents
 * and the configuration in force. Used on the routing event loop only.
 */
public final class RoutingState implements AgentConnection.Listener {
    private final EntrySettings mSettings;
    private final Vertx mVertx;
    private final Clock mClock;
    private final FrameClient mFrameClient;
    private final Hello mHello;
    private final NetworkDelays mNetworkDelays;
    private final UniformRandomProvider mRandom;
    private final AdmissionController mAdmission = new AdmissionController();
    private final Map<String, ServiceRouting> mServices = new HashMap<>();
    private final Map<UpstreamKey, UpstreamRecord> mRecords = new HashMap<>();
    private final Map<String, AgentConnection> mConnections = new HashMap<>();
    private final Counter mUnmatchedFrames;
    private Optional<SiteConfiguration> mConfiguration = Optional.empty();

    /**
     * Creates a routing state without upstreams or a configuration.
     *
     * @param settings settings of the entry
     * @param vertx Vert.x instance that provides the event loops
     * @param clock monotonic clock
     * @param registry registry for the metrics
     */
    public RoutingState(EntrySettings settings, Vertx vertx, Clock clock, MetricRegistry registry) {
        mSettings = settings;
        mVertx = vertx;
        mClock = clock;
        mFrameClient = new FrameClient(vertx, FrameTimeouts.DEFAULT, registry);
        mHello =
                new Hello(
                        DaemonRole.ENTRY,
                        settings.daemon(),
                        settings.incarnation(),
                        settings.dataCentre(),
                        FrameCodec.MIN_VERSION,
                        FrameCodec.MAX_VERSION);
        mNetworkDelays = new NetworkDelays(settings.dataCentre(), SelectorSettings.DEFAULT);
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
        mUnmatchedFrames = registry.counter("entry.late-frames");
    }

    /**
     * Applies a configuration.
     *
     * @param configuration the configuration, which replaces the one in force
     */
    public void configure(SiteConfiguration configuration) {
        mConfiguration = Optional.of(configuration);
        Set<DataCentreId> removed = configuration.dataCentresOutOfService();
        mServices
                .values()
                .forEach(service -> service.selector().setOutOfServiceDataCentres(removed));
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty if none has been received yet
     */
    public Optional<SiteConfiguration> configuration() {
        return mConfiguration;
    }

    /**
     * Applies a record. The caller ensures that it is newer than earlier records of the upstream.
     *
     * @param record the record; with the {@code gone} flag set it removes the upstream
     */
    public void putRecord(UpstreamRecord record) {
        UpstreamKey key = UpstreamKey.of(record);
        if (record.state().gone()) {
            removeUpstream(key);
            return;
        }
        UpstreamRecord previous = mRecords.put(key, record);
        if (previous != null && !previous.agentAddress().equals(record.agentAddress())) {
            closeIfUnused(previous.agentAddress());
        }
        AgentConnection connection = mConnections.get(record.agentAddress());
        if (connection == null) {
            connection =
                    new AgentConnection(
                            record.agentAddress(), mVertx, mFrameClient, mHello, mClock, this);
            mConnections.put(record.agentAddress(), connection);
            connection.connect();
        }
        updateSelector(record, connection.isConnected());
    }

    /**
     * Removes an upstream. Does nothing if the upstream is not known.
     *
     * @param key key of the upstream
     */
    public void removeUpstream(UpstreamKey key) {
        UpstreamRecord previous = mRecords.remove(key);
        if (previous != null) {
            service(key.service()).selector().remove(key.id());
            closeIfUnused(previous.agentAddress());
        }
    }

    /**
     * Returns the routing state of a service.
     *
     * @param name name of the service
     * @return the state, created on first use
     */
    public ServiceRouting service(String name) {
        return mServices.computeIfAbsent(name, ignored -> newServiceRouting());
    }

    /**
     * Decides whether a request is admitted.
     *
     * @param service name of the service
     * @param maxConcurrent limit of open requests of the service
     * @param remaining time remaining until the request's deadline
     * @return the admission decision
     */
    public Admission admit(String service, int maxConcurrent, Duration remaining) {
        Duration expectedDelay = service(service).expectedDelay().orElse(Duration.ZERO);
        return mAdmission.admit(service, maxConcurrent, remaining, expectedDelay);
    }

    /**
     * Releases the admission of a request that has ended.
     *
     * @param service name of the service
     */
    public void releaseAdmission(String service) {
        mAdmission.release(service);
    }

    /**
     * Sends an attempt to the agent of an upstream.
     *
     * @param service name of the service
     * @param upstream target upstream
     * @param attempt number of the attempt
     * @param listener receiver of the response; notified before this method returns if the message
     *     could not be written
     * @param messageFactory builds the message with the given call id
     * @return the call, or empty if the upstream is not known
     */
    public Optional<AgentCall> send(
            String service,
            UpstreamId upstream,
            int attempt,
            AttemptListener listener,
            LongFunction<Message> messageFactory) {
        UpstreamKey key = new UpstreamKey(upstream.agent(), service, upstream.address());
        UpstreamRecord record = mRecords.get(key);
        AgentConnection connection =
                record == null ? null : mConnections.get(record.agentAddress());
        if (connection == null) {
            listener.onEvent(new PlanEvent.NotSent(attempt, "the upstream has gone"));
            return Optional.empty();
        }
        AgentCall call = new AgentCall(connection, 0, attempt, upstream, service, listener);
        return Optional.of(connection.send(call, messageFactory));
    }

    /**
     * Queries an agent for the recorded response of an earlier attempt.
     *
     * @param service name of the service
     * @param agent identifier of the agent
     * @param attempt number of the attempt
     * @param listener receiver of the response; notified before this method returns if the message
     *     could not be written
     * @param messageFactory builds the message with the given call id
     * @return the call, or empty if the agent is not known
     */
    public Optional<AgentCall> queryRecordedResponse(
            String service,
            String agent,
            int attempt,
            AttemptListener listener,
            LongFunction<Message> messageFactory) {
        AgentConnection connection =
                mRecords.values().stream()
                        .filter(record -> record.agent().value().equals(agent))
                        .map(record -> mConnections.get(record.agentAddress()))
                        .findFirst()
                        .orElse(null);
        if (connection == null) {
            listener.onEvent(new PlanEvent.NotSent(attempt, "the agent is not known"));
            return Optional.empty();
        }
        AgentCall call = new AgentCall(connection, 0, attempt, null, service, listener);
        return Optional.of(connection.send(call, messageFactory));
    }

    /**
     * Tells whether an upstream may receive new requests.
     *
     * @param service name of the service
     * @param upstream the upstream
     * @return false if the upstream is leaving, removed, ejected or not known, or if its agent is
     *     not connected
     */
    public boolean isAvailable(String service, UpstreamId upstream) {
        return service(service).selector().isAvailable(upstream);
    }

    /** Closes all data connections. */
    public void close() {
        mConnections.values().forEach(AgentConnection::close);
        mConnections.clear();
        mFrameClient.close();
    }

    @Override
    public void onConnected(AgentConnection connection, long roundTripNanos) {
        for (UpstreamRecord record : mRecords.values()) {
            if (record.agentAddress().equals(connection.address())) {
                mNetworkDelays.observe(record.dataCentre(), roundTripNanos);
                updateSelector(record, true);
            }
        }
    }

    @Override
    public void onDisconnected(AgentConnection connection) {
        for (UpstreamRecord record : mRecords.values()) {
            if (record.agentAddress().equals(connection.address())) {
                updateSelector(record, false);
            }
        }
        mVertx.runOnContext(ignored -> closeIfUnused(connection.address()));
    }

    @Override
    public void onLoadReport(AgentCall call, LoadReport load) {
        if (call.upstream() == null || load == null) {
            return;
        }
        service(call.service())
                .selector()
                .recordLoad(
                        call.upstream(),
                        new UpstreamLoad(
                                load.running(),
                                load.queued(),
                                load.slots(),
                                load.serviceMicros(),
                                load.leaving()));
    }

    @Override
    public void onUpstreamLeaving(AgentCall call) {
        if (call.upstream() != null) {
            service(call.service()).selector().markLeaving(call.upstream());
        }
    }

    @Override
    public void onUnmatchedFrame() {
        mUnmatchedFrames.inc();
    }

    private void updateSelector(UpstreamRecord record, boolean connected) {
        UpstreamKey key = UpstreamKey.of(record);
        service(key.service())
                .selector()
                .put(
                        key.id(),
                        record.dataCentre(),
                        record.state().slots(),
                        record.state().leaving() || !connected);
    }

    private void closeIfUnused(String address) {
        Set<String> usedAddresses = new HashSet<>();
        mRecords.values().forEach(record -> usedAddresses.add(record.agentAddress()));
        AgentConnection connection = mConnections.get(address);
        // The connection of a removed upstream stays open while it carries open requests.
        if (connection != null
                && !usedAddresses.contains(address)
                && connection.openCallCount() == 0) {
            mConnections.remove(address);
            connection.close();
        }
    }

    private ServiceRouting newServiceRouting() {
        UpstreamSelector selector =
                new UpstreamSelector(
                        mSettings.dataCentre(),
                        SelectorSettings.DEFAULT,
                        mNetworkDelays,
                        new OutlierEjector(EjectionSettings.DEFAULT, mClock),
                        mClock,
                        mRandom);
        mConfiguration.ifPresent(
                site -> selector.setOutOfServiceDataCentres(site.dataCentresOutOfService()));
        return new ServiceRouting(selector, mClock);
    }
}
