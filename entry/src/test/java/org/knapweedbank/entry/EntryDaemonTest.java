package org.knapweedbank.entry;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.knapweedbank.config.ConfigurationSource;
import org.knapweedbank.config.ServiceSettings;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.control.AgentControlConnection;
import org.knapweedbank.control.ControlService;
import org.knapweedbank.entry.http.FakeAgent;
import org.knapweedbank.entry.operator.DaemonDirectory;
import org.knapweedbank.entry.operator.OperatorForwarder;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.cache.PrefixView;
import org.knapweedbank.store.claim.Claim;
import org.knapweedbank.store.claim.ClaimRequest;
import org.knapweedbank.store.claim.ClaimResult;
import org.knapweedbank.store.lease.EntryRegistration;
import org.knapweedbank.time.SystemClock;
import org.knapweedbank.wire.ConfigPush;
import org.knapweedbank.wire.DaemonRole;
import org.knapweedbank.wire.DaemonStatus;
import org.knapweedbank.wire.FrameClient;
import org.knapweedbank.wire.FrameConnection;
import org.knapweedbank.wire.FrameTimeouts;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.Hello;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.OperatorCall;
import org.knapweedbank.wire.OperatorReply;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.UpstreamState;

/**
 * Tests what agents and entries exchange over real connections: upstream records, configurations,
 * daemon status and forwarded operator requests.
 */
@Timeout(60)
class EntryDaemonTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final ListenAddress ANY_PORT = new ListenAddress("127.0.0.1", 0);
    private static final DataCentreId DATA_CENTRE = new DataCentreId("dc");

    private final Vertx mVertx = Vertx.vertx();
    private final HttpClient mClient = mVertx.createHttpClient();
    private final FakePrefixView mView = new FakePrefixView();
    private final List<TestEntry> mStarted = new ArrayList<>();
    private TestEntry mFirst;
    private TestEntry mSecond;
    private FakeAgent mAgent;

    /** Prefix view whose content is set by the test. */
    private static final class FakePrefixView implements PrefixView {
        private final Map<String, KeyEntry> mEntries = new TreeMap<>();
        private final List<Runnable> mListeners = new ArrayList<>();

        synchronized void put(EntryRegistration entry) {
            mEntries.put(entry.key(), new KeyEntry(entry.key(), entry.encode(), 1, 1, 0));
            mListeners.forEach(Runnable::run);
        }

        @Override
        public synchronized Optional<KeyEntry> get(String key) {
            return Optional.ofNullable(mEntries.get(key));
        }

        @Override
        public synchronized List<KeyEntry> list(String prefix) {
            return mEntries.values().stream().filter(e -> e.key().startsWith(prefix)).toList();
        }

        @Override
        public synchronized void subscribe(String prefix, Runnable listener) {
            mListeners.add(listener);
            listener.run();
        }

        @Override
        public long confirmedNanos() {
            return 0;
        }
    }

    /** Entry daemon with fake dependencies, all implemented by this class. */
    private final class TestEntry
            implements ConfigurationSource, ControlService, ClaimService, OperatorMount {
        private final BlockingQueue<SiteConfiguration> mPeerConfigurations =
                new LinkedBlockingQueue<>();
        private final List<Consumer<SiteConfiguration>> mListeners = new ArrayList<>();
        private final EntryDaemon mDaemon;
        private final String mName;
        private volatile DaemonDirectory mDirectory;
        private volatile OperatorForwarder mForwarder;
        private volatile SiteConfiguration mConfiguration;

        TestEntry(String name, SiteConfiguration site) {
            mName = name;
            mConfiguration = site;
            EntrySettings settings =
                    new EntrySettings(
                            new DaemonId(name),
                            1,
                            DATA_CENTRE,
                            "127.0.0.1",
                            ANY_PORT,
                            ANY_PORT,
                            ANY_PORT,
                            CallerLimits.DEFAULT,
                            Duration.ZERO,
                            Duration.ofSeconds(5),
                            7);
            mDaemon =
                    new EntryDaemon(
                            settings,
                            mVertx,
                            new SystemClock(),
                            new MetricRegistry(),
                            new EntryDependencies(
                                    this, mPeerConfigurations::add, mView, this, this, this));
            mDaemon.start().await().atMost(Duration.ofSeconds(TIMEOUT_SECONDS));
            mStarted.add(this);
        }

        void register() {
            String address = "127.0.0.1:" + mDaemon.framePort();
            mView.put(new EntryRegistration(new DaemonId(mName), 1, DATA_CENTRE, address, "", ""));
        }

        synchronized void changeConfiguration(SiteConfiguration site) {
            mConfiguration = site;
            mListeners.forEach(listener -> listener.accept(site));
        }

        @Override
        public Optional<SiteConfiguration> current() {
            return Optional.ofNullable(mConfiguration);
        }

        @Override
        public long confirmedNanos() {
            return 0;
        }

        @Override
        public synchronized void subscribe(Consumer<SiteConfiguration> listener) {
            mListeners.add(listener);
            current().ifPresent(listener);
        }

        @Override
        public void onSessionOpen(AgentControlConnection session, SessionOpen open) {
            session.onSessionGranted(0, 1);
        }

        @Override
        public void onMessage(AgentControlConnection session, Message message) {}

        @Override
        public void onSessionClosed(AgentControlConnection session) {}

        @Override
        public Uni<ClaimResult> claim(ClaimRequest request) {
            return Uni.createFrom().item(new ClaimResult.Unavailable("no store"));
        }

        @Override
        public Uni<Boolean> release(Claim claim) {
            return Uni.createFrom().item(true);
        }

        @Override
        public OperatorCallHandler mount(
                io.vertx.ext.web.Router router,
                DaemonDirectory directory,
                OperatorForwarder forwarder) {
            mDirectory = directory;
            mForwarder = forwarder;
            return call ->
                    Uni.createFrom()
                            .item(
                                    new OperatorReply(
                                            0,
                                            200,
                                            (mName + call.path())
                                                    .getBytes(StandardCharsets.UTF_8)));
        }
    }

    @BeforeEach
    void start() {
        mFirst = new TestEntry("first", site(1));
        mSecond = new TestEntry("second", site(1));
        mFirst.register();
        mSecond.register();
        mAgent = new FakeAgent("a", mVertx);
    }

    @AfterEach
    void stop() throws Exception {
        for (TestEntry entry : mStarted) {
            entry.mDaemon.stop().await().atMost(Duration.ofSeconds(TIMEOUT_SECONDS));
        }
        mAgent.close();
        mVertx.close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void upstreamRecordsReachAllEntries() throws Exception {
        BlockingQueue<Message> received = new LinkedBlockingQueue<>();
        FrameConnection session = connect(mFirst, received);
        session.send(heartbeat(1, false));
        awaitStatus(mFirst, 200);
        awaitStatus(mSecond, 200);
        session.send(heartbeat(2, true));
        awaitStatus(mFirst, 503);
        awaitStatus(mSecond, 503);
        assertThat(mAgent.receivedCount()).isAtLeast(2);
    }

    @Test
    void configurationIsPushedToAgentsOnGrantAndOnChange() throws Exception {
        BlockingQueue<Message> received = new LinkedBlockingQueue<>();
        connect(mFirst, received);
        assertThat(nextPush(received).generation()).isEqualTo(1);
        mFirst.changeConfiguration(site(2));
        assertThat(nextPush(received).generation()).isEqualTo(2);
    }

    /** Guards against an entry without access to the store that never receives a configuration. */
    @Test
    void entryWithoutConfigurationReceivesItFromPeers() throws Exception {
        TestEntry third = new TestEntry("third", null);
        third.register();
        SiteConfiguration received =
                third.mPeerConfigurations.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(received).isEqualTo(site(1));
    }

    @Test
    void daemonDirectoryListsAllDaemons() throws Exception {
        FrameConnection session = connect(mFirst, new LinkedBlockingQueue<>());
        session.send(heartbeat(1, false));
        awaitStatus(mSecond, 200);
        List<DaemonStatus> daemons = daemons(mSecond);
        assertThat(daemons.stream().map(d -> d.daemon().value()).toList())
                .containsExactly("first", "second", "a");
        DaemonStatus agent =
                daemons.stream().filter(d -> d.role() == DaemonRole.AGENT).findFirst().get();
        assertThat(agent.generation()).isEqualTo(7);
        assertThat(agent.upstreams()).hasSize(1);
    }

    @Test
    void operatorCallIsForwardedToPeer() throws Exception {
        awaitStatus(mFirst, 503);
        OperatorCall call = new OperatorCall(99, "op", "GET", "/v1/jobs/j", new byte[0]);
        OperatorReply reply;
        do {
            reply = mFirst.mForwarder.forward("second", call).await().indefinitely();
            // The link between the entries may not have been established yet.
        } while (reply.status() == 503);
        assertThat(reply.status()).isEqualTo(200);
        assertThat(new String(reply.body(), StandardCharsets.UTF_8)).isEqualTo("second/v1/jobs/j");
        assertThat(mFirst.mForwarder.peers()).containsExactly("second");
    }

    /**
     * Guards against a problem document that does not say that the request was not applied. The
     * forwarding entry writes that document only if the reply has no body.
     */
    @Test
    void forwardingToUnknownEntryYields503WithoutBody() {
        OperatorCall call = new OperatorCall(99, "op", "POST", "/v1/jobs", new byte[0]);
        OperatorReply reply = mFirst.mForwarder.forward("none", call).await().indefinitely();
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.body()).isEmpty();
    }

    private static List<DaemonStatus> daemons(TestEntry entry) {
        return entry.mDirectory.daemons().await().atMost(Duration.ofSeconds(TIMEOUT_SECONDS));
    }

    private FrameConnection connect(TestEntry entry, BlockingQueue<Message> received)
            throws Exception {
        FrameClient client = new FrameClient(mVertx, FrameTimeouts.DEFAULT, new MetricRegistry());
        Hello hello = new Hello(DaemonRole.AGENT, new DaemonId("a"), 1, DATA_CENTRE, 1, 1);
        FrameConnection connection =
                client.connect("127.0.0.1", entry.mDaemon.framePort(), hello)
                        .await()
                        .atMost(Duration.ofSeconds(TIMEOUT_SECONDS));
        connection.messageHandler(received::add);
        String address = mAgent.upstreamRecord(false, 1).agentAddress();
        connection.send(
                new SessionOpen(
                        new VmId("vm"), "rack", "region", Resources.NONE, address, 0, List.of()));
        return connection;
    }

    private Heartbeat heartbeat(long seq, boolean leaving) {
        UpstreamState state = mAgent.upstreamRecord(leaving, seq).state();
        return new Heartbeat(seq, 1, 0, 7, List.of(state), List.of());
    }

    private static ConfigPush nextPush(BlockingQueue<Message> received) throws Exception {
        Message message = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return (ConfigPush) message;
    }

    /** Sends requests one after another until a response has the given status. */
    private void awaitStatus(TestEntry entry, int status) throws Exception {
        int lastStatus = 0;
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (lastStatus != status && System.nanoTime() < deadlineNanos) {
            CompletableFuture<Integer> observed = new CompletableFuture<>();
            mClient.request(
                            io.vertx.core.http.HttpMethod.GET,
                            entry.mDaemon.callerPort(),
                            "127.0.0.1",
                            "/s/echo/x")
                    .compose(request -> request.send())
                    .onSuccess(response -> observed.complete(response.statusCode()))
                    .onFailure(observed::completeExceptionally);
            lastStatus = observed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        assertThat(lastStatus).isEqualTo(status);
    }

    private static SiteConfiguration site(long generation) {
        ServiceSettings echo = new ServiceSettings("echo", 100, 10_000, 100, Set.of("GET"), false);
        return new SiteConfiguration(
                generation, "test", 1, List.of(), List.of(echo), List.of(), List.of());
    }
}
