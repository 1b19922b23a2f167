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
import org.knapweedbank.entry.EntryParts;
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
 * Membership duty of an entry, on its own thread: sessions of agents, the table of upstreams, and
 * links to the other entries over which upstreams, status and operator requests are exchanged.
 */
public final class Membership implements DaemonDirectory, OperatorForwarder {
    private static final Logger LOG = LogManager.getLogger(Membership.class);
    private static final int RING_CAPACITY = 16_384;

    /** Interval in which changed records are collected into one delta. */
    private static final Duration STEP = Duration.ofMillis(100);

    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final int UNREACHABLE_STATUS = 503;
    private static final int TIMEOUT_STATUS = 504;

    private final EntrySettings mSettings;
    private final Vertx mVertx;
    private final EntryParts mParts;
    private final FrameClient mClient;
    private final Hello mHello;
    private final RoutingFeed mFeed;
    private final DutyThread mThread;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final Queue<Runnable> mCritical = new ConcurrentLinkedQueue<>();
    private final UpstreamTable mTable;
    private final Map<DaemonId, ConnectedAgent> mAgents = new HashMap<>();
    private final Map<DaemonId, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final Map<Integer, List<UpstreamRecord>> mChanged = new TreeMap<>();
    private final Set<Integer> mSnapshots = new HashSet<>();
    private volatile String mAddress = "";
    private volatile int mUpstreamCount;
    private volatile SiteConfiguration mConfiguration;

    /**
     * Creates the duty; {@link #start(String)} starts it.
     *
     * @param settings settings of the entry
     * @param vertx event loops
     * @param clock clock
     * @param registry receives the metrics
     * @param parts configuration source, view and control service
     * @param context routing event loop
     * @param routing routing state that gets the upstreams
     */
    public Membership(
            EntrySettings settings,
            Vertx vertx,
            Clock clock,
            MetricRegistry registry,
            EntryParts parts,
            Context context,
            RoutingState routing) {
        mSettings = settings;
        mVertx = vertx;
        mParts = parts;
        mClient = new FrameClient(vertx, FrameTimeouts.DEFAULT, registry);
        mHello =
                new Hello(
                        DaemonRole.ENTRY,
                        settings.daemon(),
                        settings.incarnation(),
                        settings.dataCentre(),
                        FrameCodec.MIN_VERSION,
                        FrameCodec.MAX_VERSION);
        mFeed = new RoutingFeed(context, routing);
        mTable = new UpstreamTable(clock);
        mThread = new DutyThread("membership", RING_CAPACITY, this::step, STEP);
        registry.gauge("entry.upstreams", () -> (Gauge<Integer>) () -> mUpstreamCount);
        registry.gauge("entry.membership.rejected", () -> (Gauge<Long>) mThread::rejected);
    }

    /**
     * Starts the duty.
     *
     * @param address HOST:PORT of the frame listener
     */
    public void start(String address) {
        mAddress = address;
        mThread.start();
        mParts.source().subscribe(site -> critical(() -> configured(site)));
        mParts.view().subscribe(EntryRegistration.PREFIX, () -> critical(this::updateLinks));
    }

    /** Closes the links and the control connections and ends the thread. */
    public void stop() {
        critical(
                () -> {
                    mLinks.values().forEach(PeerLink::close);
                    mAgents.values().forEach(agent -> agent.close("the entry is stopping"));
                    mThread.close();
                });
    }

    @Override
    public Uni<List<DaemonStatus>> daemons() {
        List<Uni<List<DaemonStatus>>> parts = new ArrayList<>();
        parts.add(ownStatus());
        mLinks.values().forEach(link -> parts.add(status(link)));
        return Uni.join()
                .all(parts)
                .andFailFast()
                .map(lists -> lists.stream().flatMap(List::stream).toList());
    }

    @Override
    public Uni<OperatorReply> forward(String entryId, OperatorCall call) {
        PeerLink link = mLinks.get(new DaemonId(entryId));
        if (link == null) {
            LOG.warn("[entry] request about a job: entry {} is not known", entryId);
            return Uni.createFrom().item(withoutAnswer(UNREACHABLE_STATUS));
        }
        return link.call(
                        id ->
                                new OperatorCall(
                                        id,
                                        call.operator(),
                                        call.method(),
                                        call.path(),
                                        call.body()),
                        CALL_TIMEOUT)
                .map(
                        reply ->
                                reply.filter(OperatorReply.class::isInstance)
                                        .map(OperatorReply.class::cast)
                                        .orElseGet(() -> withoutAnswer(TIMEOUT_STATUS)))
                .onFailure()
                .recoverWithItem(withoutAnswer(UNREACHABLE_STATUS));
    }

    @Override
    public List<String> peers() {
        return mLinks.keySet().stream().map(DaemonId::value).sorted().toList();
    }

    // Events from event loops

    /** An agent has asked for a session. */
    void opened(ConnectedAgent agent, SessionOpen open) {
        event(agent, () -> agent.opened(open));
    }

    /** The control service has granted a session. */
    void granted(ConnectedAgent agent, int partition, long epoch) {
        critical(() -> grant(agent, partition, epoch));
    }

    /** A heartbeat has arrived. */
    void heartbeat(ConnectedAgent agent, Heartbeat heartbeat) {
        event(agent, () -> take(agent, heartbeat));
    }

    /** An agent has confirmed a generation. */
    void confirmed(ConnectedAgent agent, long generation) {
        event(agent, () -> agent.generation(generation));
    }

    /** A control connection has ended. */
    void closed(ConnectedAgent agent) {
        critical(() -> remove(agent));
    }

    /** Another entry has sent a delta. */
    void delta(FrameConnection peer, UpstreamDelta delta) {
        // A delta that is lost is repaired by the snapshot of the next connection.
        if (!mThread.execute(() -> publish(mTable.apply(delta)))) {
            peer.close("the membership ring is full");
        }
    }

    /** Another entry asks for the daemons of this one. */
    void query(FrameConnection peer, StatusQuery query) {
        ownStatus().subscribe().with(daemons -> peer.send(new StatusReply(query.id(), daemons)));
    }

    /** Another entry has sent the configuration that it knows. */
    void offered(ConfigPush push) {
        try {
            SiteConfiguration site = mMapper.readValue(push.document(), SiteConfiguration.class);
            if (mParts.offer().test(site)) {
                LOG.info("[entry] generation {} taken from another entry", site.generation());
            }
        } catch (IOException e) {
            LOG.warn("[entry] configuration of another entry is malformed: {}", e.getMessage());
        }
    }

    // Work of the membership thread

    private void step() {
        runCritical();
        publish(mTable.expire());
        for (int partition : mSnapshots) {
            mChanged.remove(partition);
            snapshot(partition).ifPresent(delta -> mLinks.values().forEach(l -> l.send(delta)));
        }
        mSnapshots.clear();
        mChanged.forEach(
                (partition, records) -> {
                    UpstreamDelta delta =
                            new UpstreamDelta(partition, mTable.epoch(partition), false, records);
                    mLinks.values().forEach(link -> link.send(delta));
                });
        mChanged.clear();
        mUpstreamCount = mTable.size();
    }

    private void grant(ConnectedAgent agent, int partition, long epoch) {
        ConnectedAgent old = mAgents.put(agent.agent(), agent);
        if (old != null && old != agent) {
            old.close("replaced by a newer connection");
        }
        agent.grant(partition, epoch);
        relay(agent, agent.records());
        if (mConfiguration != null) {
            agent.send(push(mConfiguration));
        }
    }

    private void take(ConnectedAgent agent, Heartbeat heartbeat) {
        agent.generation(heartbeat.generation());
        List<UpstreamRecord> records = agent.upstreams(heartbeat.upstreams());
        if (agent.granted() && !records.isEmpty()) {
            relay(agent, records);
        }
    }

    /** Takes the records of an own agent into the table and queues them for the other entries. */
    private void relay(ConnectedAgent agent, List<UpstreamRecord> records) {
        if (agent.epoch() < mTable.epoch(agent.partition())) {
            // Another entry owns the partition now.
            return;
        }
        publish(mTable.apply(new UpstreamDelta(agent.partition(), agent.epoch(), false, records)));
        mChanged.computeIfAbsent(agent.partition(), p -> new ArrayList<>()).addAll(records);
    }

    private void remove(ConnectedAgent agent) {
        if (!mAgents.remove(agent.agent(), agent)) {
            return;
        }
        // Both here and at the other entries the records stay for a while, as the agent may only
        // have lost its connection; the data connections tell at once whether it is reachable.
        snapshot(agent.partition()).ifPresent(delta -> publish(mTable.apply(delta)));
        mSnapshots.add(agent.partition());
    }

    private void publish(List<UpstreamRecord> changed) {
        changed.forEach(mFeed::put);
    }

    /** All records of a partition, if this entry is its last known owner. */
    private Optional<UpstreamDelta> snapshot(int partition) {
        long epoch = mTable.epoch(partition);
        List<ConnectedAgent> agents =
                mAgents.values().stream()
                        .filter(a -> a.partition() == partition && a.epoch() == epoch)
                        .toList();
        if (agents.isEmpty()) {
            // Without sessions this entry cannot tell whether it still owns the partition.
            return Optional.empty();
        }
        List<UpstreamRecord> records =
                agents.stream().flatMap(agent -> agent.records().stream()).toList();
        return Optional.of(new UpstreamDelta(partition, epoch, true, records));
    }

    private void configured(SiteConfiguration site) {
        mConfiguration = site;
        ConfigPush push = push(site);
        mAgents.values().forEach(agent -> agent.send(push));
    }

    private ConfigPush push(SiteConfiguration site) {
        return new ConfigPush(
                site.generation(), List.copyOf(site.removed()), json(site.services()));
    }

    private String json(Object value) {
        try {
            return mMapper.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("configuration cannot be encoded", e);
        }
    }

    private void updateLinks() {
        Map<DaemonId, EntryRegistration> registered = new HashMap<>();
        mParts.view().list(EntryRegistration.PREFIX).stream()
                .flatMap(entry -> EntryRegistration.decode(entry).stream())
                .filter(entry -> !entry.id().equals(mSettings.daemon()))
                .forEach(entry -> registered.put(entry.id(), entry));
        for (PeerLink link : List.copyOf(mLinks.values())) {
            EntryRegistration present = registered.get(link.peer().id());
            if (!link.peer().equals(present)) {
                mLinks.remove(link.peer().id());
                link.close();
            }
        }
        registered.forEach(
                (id, entry) -> {
                    if (!mLinks.containsKey(id)) {
                        PeerLink link = newLink(entry);
                        mLinks.put(id, link);
                        link.connect();
                    }
                });
    }

    private PeerLink newLink(EntryRegistration entry) {
        return new PeerLink(
                entry,
                mVertx,
                mClient,
                mHello,
                () -> critical(() -> linked(mLinks.get(entry.id()))));
    }

    /** Sends the whole state to an entry that has just been connected. */
    private void linked(PeerLink link) {
        if (link == null) {
            return;
        }
        Set<Integer> partitions = new HashSet<>();
        mAgents.values().forEach(agent -> partitions.add(agent.partition()));
        partitions.forEach(partition -> snapshot(partition).ifPresent(link::send));
        if (mConfiguration != null) {
            link.send(
                    new ConfigPush(
                            mConfiguration.generation(),
                            List.copyOf(mConfiguration.removed()),
                            json(mConfiguration)));
        }
    }

    private Uni<List<DaemonStatus>> ownStatus() {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                critical(
                                        () -> {
                                            List<DaemonStatus> daemons = new ArrayList<>();
                                            daemons.add(ownEntry());
                                            mAgents.values().stream()
                                                    .map(ConnectedAgent::status)
                                                    .forEach(daemons::add);
                                            emitter.complete(daemons);
                                        }));
    }

    private DaemonStatus ownEntry() {
        long generation = mConfiguration == null ? 0 : mConfiguration.generation();
        return new DaemonStatus(
                mSettings.daemon(),
                DaemonRole.ENTRY,
                mSettings.dataCentre(),
                mSettings.incarnation(),
                generation,
                true,
                mAddress,
                List.of());
    }

    private static Uni<List<DaemonStatus>> status(PeerLink link) {
        EntryRegistration peer = link.peer();
        List<DaemonStatus> silent =
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
                .map(reply -> reply.map(Membership::daemonsOf).orElse(silent))
                .onFailure()
                .recoverWithItem(silent);
    }

    private static List<DaemonStatus> daemonsOf(Message reply) {
        return reply instanceof StatusReply status ? status.daemons() : List.of();
    }

    /** A reply that tells only that the other entry gave none. */
    private static OperatorReply withoutAnswer(int status) {
        return new OperatorReply(0, status, new byte[0]);
    }

    /** Queues an event of an agent; when the ring is full the agent has to connect again. */
    private void event(ConnectedAgent agent, Runnable event) {
        if (!mThread.execute(event)) {
            agent.close("the membership ring is full");
        }
    }

    /**
     * Queues an event that must not be lost. Their number is bounded by the connections and the
     * open queries.
     */
    private void critical(Runnable event) {
        mCritical.add(event);
        mThread.execute(this::runCritical);
    }

    private void runCritical() {
        Runnable event = mCritical.poll();
        while (event != null) {
            try {
                event.run();
            } catch (RuntimeException e) {
                LOG.error("[entry] membership event failed", e);
            }
            event = mCritical.poll();
        }
    }
}
