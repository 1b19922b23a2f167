package org.knapweedbank.entry.membership;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.entry.EntryDependencies;
import org.knapweedbank.entry.EntrySettings;
import org.knapweedbank.entry.operator.DaemonDirectory;
import org.knapweedbank.entry.operator.OperatorForwarder;
import org.knapweedbank.entry.upstream.RoutingState;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.ring.DutyThread;
import org.knapweedbank.store.lease.EntryRegistration;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.ConfigPush;
import org.knapweedbank.wire.DaemonRole;
import org.knapweedbank.wire.DaemonStatus;
import org.knapweedbank.wire.FrameClient;
import org.knapweedbank.wire.FrameCodec;
import org.knapweedbank.wire.FrameConnection;
import org.knapweedbank.wire.FrameTimeouts;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.Hello;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.OperatorCall;
import org.knapweedbank.wire.OperatorReply;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.StatusQuery;
import org.knapweedbank.wire.StatusReply;
import org.knapweedbank.wire.UpstreamDelta;
import org.knapweedbank.wire.UpstreamRecord;

/**
 * Tracks the agents connected to this entry, the table of upstreams, and the links to the other
 * entries, over which upstream records, daemon status, configurations and operator requests are
 * exchanged. The state is used on the membership thread only; the public methods and the {@code on}
 * methods may be called from any thread.
 */
public final class Membership implements DaemonDirectory, OperatorForwarder {
    private static final Logger LOG = LogManager.getLogger(Membership.class);

    /** Number of events that can be queued for the membership thread. */
    private static final int RING_BUFFER_CAPACITY = 16_384;

    /** Interval at which the changed records of a partition are sent to the other entries. */
    private static final Duration DELTA_INTERVAL = Duration.ofMillis(100);

    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration OPERATOR_CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final int UNREACHABLE_STATUS = 503;
    private static final int TIMEOUT_STATUS = 504;

    private final EntrySettings mSettings;
    private final Vertx mVertx;
    private final EntryDependencies mDependencies;
    private final FrameClient mFrameClient;
    private final Hello mHello;
    private final RoutingUpdateQueue mRoutingUpdates;
    private final DutyThread mThread;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final Queue<Runnable> mReliableEvents = new ConcurrentLinkedQueue<>();
    private final UpstreamTable mTable;
    private final Map<DaemonId, ConnectedAgent> mAgents = new HashMap<>();
    private final Map<DaemonId, PeerLink> mPeerLinks = new ConcurrentHashMap<>();
    private final Map<Integer, List<UpstreamRecord>> mPendingRecords = new TreeMap<>();
    private final Set<Integer> mPendingSnapshots = new HashSet<>();
    private volatile String mFrameAddress = "";
    private volatile int mUpstreamCount;
    private volatile SiteConfiguration mConfiguration;

    /**
     * Creates the membership; {@link #start(String)} starts its thread.
     *
     * @param settings settings of the entry
     * @param vertx Vert.x instance that provides the event loops
     * @param clock monotonic clock
     * @param registry registry for the metrics
     * @param dependencies configuration source and view of the registered entries
     * @param routingLoop context of the routing event loop
     * @param routingState routing state that receives the upstream records
     */
    public Membership(
            EntrySettings settings,
            Vertx vertx,
            Clock clock,
            MetricRegistry registry,
            EntryDependencies dependencies,
            Context routingLoop,
            RoutingState routingState) {
        mSettings = settings;
        mVertx = vertx;
        mDependencies = dependencies;
        mFrameClient = new FrameClient(vertx, FrameTimeouts.DEFAULT, registry);
        mHello =
                new Hello(
                        DaemonRole.ENTRY,
                        settings.daemon(),
                        settings.incarnation(),
                        settings.dataCentre(),
                        FrameCodec.MIN_VERSION,
                        FrameCodec.MAX_VERSION);
        mRoutingUpdates = new RoutingUpdateQueue(routingLoop, routingState);
        mTable = new UpstreamTable(clock);
        mThread =
                new DutyThread(
                        "membership", RING_BUFFER_CAPACITY, this::runPeriodicWork, DELTA_INTERVAL);
        registry.gauge("entry.upstreams", () -> (Gauge<Integer>) () -> mUpstreamCount);
        registry.gauge("entry.membership.rejected", () -> (Gauge<Long>) mThread::rejectedCount);
    }

    /**
     * Starts the thread and subscribes to the configuration and to the registered entries.
     *
     * @param frameAddress HOST:PORT of the frame listener
     */
    public void start(String frameAddress) {
        mFrameAddress = frameAddress;
        mThread.start();
        mDependencies
                .configurationSource()
                .subscribe(site -> executeReliably(() -> applyConfiguration(site)));
        mDependencies
                .clusterView()
                .subscribe(EntryRegistration.PREFIX, () -> executeReliably(this::updateLinks));
    }

    /** Closes the links and the control connections and stops the thread. */
    public void stop() {
        executeReliably(
                () -> {
                    mPeerLinks.values().forEach(PeerLink::close);
                    mAgents.values().forEach(agent -> agent.close("the entry is stopping"));
                    mThread.close();
                });
    }

    @Override
    public Uni<List<DaemonStatus>> daemons() {
        List<Uni<List<DaemonStatus>>> statuses = new ArrayList<>();
        statuses.add(localStatus());
        mPeerLinks.values().forEach(link -> statuses.add(peerStatus(link)));
        return Uni.join()
                .all(statuses)
                .andFailFast()
                .map(lists -> lists.stream().flatMap(List::stream).toList());
    }

    @Override
    public Uni<OperatorReply> forward(String entryId, OperatorCall call) {
        PeerLink link = mPeerLinks.get(new DaemonId(entryId));
        if (link == null) {
            LOG.warn("[entry] cannot forward operator request: unknown entry {}", entryId);
            return Uni.createFrom().item(emptyReply(UNREACHABLE_STATUS));
        }
        return link.call(
                        id ->
                                new OperatorCall(
                                        id,
                                        call.operator(),
                                        call.method(),
                                        call.path(),
                                        call.body()),
                        OPERATOR_CALL_TIMEOUT)
                .map(
                        reply ->
                                reply.filter(OperatorReply.class::isInstance)
                                        .map(OperatorReply.class::cast)
                                        .orElseGet(() -> emptyReply(TIMEOUT_STATUS)))
                .onFailure()
                .recoverWithItem(emptyReply(UNREACHABLE_STATUS));
    }

    @Override
    public List<String> peers() {
        return mPeerLinks.keySet().stream().map(DaemonId::value).sorted().toList();
    }

    // Called on event loops; the work is queued for the membership thread

    /** Handles an agent's request for a session. */
    void onSessionOpen(ConnectedAgent agent, SessionOpen open) {
        executeOrDisconnect(agent, () -> agent.applySessionOpen(open));
    }

    /** Handles the control service's grant of a session. */
    void onSessionGranted(ConnectedAgent agent, int partition, long epoch) {
        executeReliably(() -> grantSession(agent, partition, epoch));
    }

    /** Handles a heartbeat of an agent. */
    void onHeartbeat(ConnectedAgent agent, Heartbeat heartbeat) {
        executeOrDisconnect(agent, () -> applyHeartbeat(agent, heartbeat));
    }

    /** Handles an agent's acknowledgement of a configuration generation. */
    void onConfigurationAck(ConnectedAgent agent, long generation) {
        executeOrDisconnect(agent, () -> agent.updateGeneration(generation));
    }

    /** Handles the end of an agent's control connection. */
    void onAgentDisconnected(ConnectedAgent agent) {
        executeReliably(() -> removeAgent(agent));
    }

    /** Handles an upstream delta of another entry. */
    void onUpstreamDelta(FrameConnection peer, UpstreamDelta delta) {
        // Closing the connection repairs the lost delta: the next one starts with a snapshot.
        if (!mThread.execute(() -> updateRouting(mTable.apply(delta)))) {
            peer.close("the membership ring is full");
        }
    }

    /** Replies to another entry's query for the daemons known to this entry. */
    void onStatusQuery(FrameConnection peer, StatusQuery query) {
        localStatus().subscribe().with(daemons -> peer.send(new StatusReply(query.id(), daemons)));
    }

    /** Offers a configuration received from another entry to the configuration source. */
    void onPeerConfiguration(ConfigPush push) {
        try {
            SiteConfiguration site = mMapper.readValue(push.document(), SiteConfiguration.class);
            if (mDependencies.configurationOffer().test(site)) {
                LOG.info(
                        "[entry] adopted configuration generation {} from another entry",
                        site.generation());
            }
        } catch (IOException e) {
            LOG.warn("[entry] configuration of another entry is malformed: {}", e.getMessage());
        }
    }

    // Called on the membership thread

    /** Expires missing upstreams and sends pending snapshots and deltas to the other entries. */
    private void runPeriodicWork() {
        runReliableEvents();
        updateRouting(mTable.expire());
        for (int partition : mPendingSnapshots) {
            mPendingRecords.remove(partition);
            ownedSnapshot(partition)
                    .ifPresent(delta -> mPeerLinks.values().forEach(link -> link.send(delta)));
        }
        mPendingSnapshots.clear();
        mPendingRecords.forEach(
                (partition, records) -> {
                    UpstreamDelta delta =
                            new UpstreamDelta(partition, mTable.epoch(partition), false, records);
                    mPeerLinks.values().forEach(link -> link.send(delta));
                });
        mPendingRecords.clear();
        mUpstreamCount = mTable.size();
    }

    /** Registers the agent, closing its former connection, and sends it the configuration. */
    private void grantSession(ConnectedAgent agent, int partition, long epoch) {
        ConnectedAgent replaced = mAgents.put(agent.agent(), agent);
        if (replaced != null && replaced != agent) {
            replaced.close("replaced by a newer connection");
        }
        agent.markGranted(partition, epoch);
        applyAndQueue(agent, agent.liveRecords());
        if (mConfiguration != null) {
            agent.send(toConfigPush(mConfiguration));
        }
    }

    private void applyHeartbeat(ConnectedAgent agent, Heartbeat heartbeat) {
        agent.updateGeneration(heartbeat.generation());
        List<UpstreamRecord> records = agent.mergeUpstreams(heartbeat.upstreams());
        if (agent.isGranted() && !records.isEmpty()) {
            applyAndQueue(agent, records);
        }
    }

    /**
     * Applies the records of an agent of this entry to the table and queues them for the other
     * entries.
     */
    private void applyAndQueue(ConnectedAgent agent, List<UpstreamRecord> records) {
        if (agent.epoch() < mTable.epoch(agent.partition())) {
            // Another entry has become the owner of the partition.
            return;
        }
        updateRouting(
                mTable.apply(new UpstreamDelta(agent.partition(), agent.epoch(), false, records)));
        mPendingRecords
                .computeIfAbsent(agent.partition(), ignored -> new ArrayList<>())
                .addAll(records);
    }

    private void removeAgent(ConnectedAgent agent) {
        if (!mAgents.remove(agent.agent(), agent)) {
            return;
        }
        // The snapshot only marks the agent's upstreams as missing, in this and the other entries,
        // because the agent may merely have lost its control connection. The data connections show
        // immediately whether it is reachable.
        ownedSnapshot(agent.partition()).ifPresent(delta -> updateRouting(mTable.apply(delta)));
        mPendingSnapshots.add(agent.partition());
    }

    /** Passes changed records to the routing event loop. */
    private void updateRouting(List<UpstreamRecord> changed) {
        changed.forEach(mRoutingUpdates::enqueue);
    }

    /**
     * Returns all records of a partition as a snapshot, if this entry is the partition's last known
     * owner.
     */
    private Optional<UpstreamDelta> ownedSnapshot(int partition) {
        long epoch = mTable.epoch(partition);
        List<ConnectedAgent> agents =
                mAgents.values().stream()
                        .filter(agent -> agent.partition() == partition && agent.epoch() == epoch)
                        .toList();
        if (agents.isEmpty()) {
            // Without sessions, this entry cannot tell whether it still owns the partition.
            return Optional.empty();
        }
        List<UpstreamRecord> records =
                agents.stream().flatMap(agent -> agent.liveRecords().stream()).toList();
        return Optional.of(new UpstreamDelta(partition, epoch, true, records));
    }

    private void applyConfiguration(SiteConfiguration site) {
        mConfiguration = site;
        ConfigPush push = toConfigPush(site);
        mAgents.values().forEach(agent -> agent.send(push));
    }

    private ConfigPush toConfigPush(SiteConfiguration site) {
        return new ConfigPush(
                site.generation(),
                List.copyOf(site.dataCentresOutOfService()),
                toJson(site.services()));
    }

    private String toJson(Object value) {
        try {
            return mMapper.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("configuration cannot be encoded", e);
        }
    }

    /** Opens links to newly registered entries and closes those of removed or changed ones. */
    private void updateLinks() {
        Map<DaemonId, EntryRegistration> registered = new HashMap<>();
        mDependencies.clusterView().list(EntryRegistration.PREFIX).stream()
                .flatMap(keyEntry -> EntryRegistration.decode(keyEntry).stream())
                .filter(registration -> !registration.id().equals(mSettings.daemon()))
                .forEach(registration -> registered.put(registration.id(), registration));
        for (PeerLink link : List.copyOf(mPeerLinks.values())) {
            EntryRegistration current = registered.get(link.peer().id());
            if (!link.peer().equals(current)) {
                mPeerLinks.remove(link.peer().id());
                link.close();
            }
        }
        registered.forEach(
                (id, registration) -> {
                    if (!mPeerLinks.containsKey(id)) {
                        PeerLink link = newLink(registration);
                        mPeerLinks.put(id, link);
                        link.connect();
                    }
                });
    }

    private PeerLink newLink(EntryRegistration registration) {
        return new PeerLink(
                registration,
                mVertx,
                mFrameClient,
                mHello,
                () -> executeReliably(() -> sendFullState(mPeerLinks.get(registration.id()))));
    }

    /** Sends snapshots of the owned partitions and the configuration to a newly connected entry. */
    private void sendFullState(PeerLink link) {
        if (link == null) {
            return;
        }
        Set<Integer> partitions = new HashSet<>();
        mAgents.values().forEach(agent -> partitions.add(agent.partition()));
        partitions.forEach(partition -> ownedSnapshot(partition).ifPresent(link::send));
        if (mConfiguration != null) {
            link.send(
                    new ConfigPush(
                            mConfiguration.generation(),
                            List.copyOf(mConfiguration.dataCentresOutOfService()),
                            toJson(mConfiguration)));
        }
    }

    private Uni<List<DaemonStatus>> localStatus() {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                executeReliably(
                                        () -> {
                                            List<DaemonStatus> daemons = new ArrayList<>();
                                            daemons.add(localDaemonStatus());
                                            mAgents.values().stream()
                                                    .map(ConnectedAgent::toDaemonStatus)
                                                    .forEach(daemons::add);
                                            emitter.complete(daemons);
                                        }));
    }

    private DaemonStatus localDaemonStatus() {
        long generation = mConfiguration == null ? 0 : mConfiguration.generation();
        return new DaemonStatus(
                mSettings.daemon(),
                DaemonRole.ENTRY,
                mSettings.dataCentre(),
                mSettings.incarnation(),
                generation,
                true,
                mFrameAddress,
                List.of());
    }

    /** Queries another entry for its daemons; lists it as not connected if it does not reply. */
    private static Uni<List<DaemonStatus>> peerStatus(PeerLink link) {
        EntryRegistration peer = link.peer();
        List<DaemonStatus> disconnected =
                List.of(
                        new DaemonStatus(
                                peer.id(),
                                DaemonRole.ENTRY,
                                peer.dataCentre(),
                                peer.incarnation(),
                                0,
                                false,
                                peer.address(),
                                List.of()));
        return link.call(StatusQuery::new, STATUS_TIMEOUT)
                .map(reply -> reply.map(Membership::daemonsIn).orElse(disconnected))
                .onFailure()
                .recoverWithItem(disconnected);
    }

    private static List<DaemonStatus> daemonsIn(Message reply) {
        return reply instanceof StatusReply status ? status.daemons() : List.of();
    }

    /** Returns a reply without a body, for a request that the other entry did not answer. */
    private static OperatorReply emptyReply(int status) {
        return new OperatorReply(0, status, new byte[0]);
    }

    /**
     * Queues an event of an agent. If the queue is full, closes the connection, so that the agent
     * reconnects and sends its state again.
     */
    private void executeOrDisconnect(ConnectedAgent agent, Runnable event) {
        if (!mThread.execute(event)) {
            agent.close("the membership ring is full");
        }
    }

    /**
     * Queues an event that must not be lost, in an unbounded queue next to the thread's bounded
     * queue. The number of such events is bounded by the number of connections and open queries.
     */
    private void executeReliably(Runnable event) {
        mReliableEvents.add(event);
        mThread.execute(this::runReliableEvents);
    }

    /** Runs the events queued by {@link #executeReliably(Runnable)}. */
    private void runReliableEvents() {
        Runnable event = mReliableEvents.poll();
        while (event != null) {
            try {
                event.run();
            } catch (RuntimeException e) {
                LOG.error("[entry] membership event failed", e);
            }
            event = mReliableEvents.poll();
        }
    }
}
