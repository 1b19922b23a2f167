package org.knapweedbank.agent;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.ring.DutyThread;
import org.knapweedbank.routing.duplicate.DuplicateLimits;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.DaemonRole;
import org.knapweedbank.wire.FrameClient;
import org.knapweedbank.wire.FrameCodec;
import org.knapweedbank.wire.FrameConnection;
import org.knapweedbank.wire.FrameServer;
import org.knapweedbank.wire.FrameTimeouts;
import org.knapweedbank.wire.Hello;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.UpstreamState;
import org.knapweedbank.worker.Worker;

/**
 * The agent role of the daemon. One control thread handles the session and the tasks; one event
 * loop handles requests, announcements and connections.
 */
public final class AgentDaemon {
    /** Maximum time that {@link #stop()} waits for requests in flight. */
    public static final Duration STOP_LIMIT = Duration.ofSeconds(30);

    private static final Duration DUTY_STEP = Duration.ofMillis(100);
    private static final long REQUEST_STEP_MILLIS = 50;
    private static final int RING_CAPACITY = 1024;
    private static final Logger LOG = LogManager.getLogger(AgentDaemon.class);

    private final AgentSettings mSettings;
    private final Vertx mVertx;
    private final Clock mClock;
    private final Context mContext;
    private final DutyThread mDuty;
    private final SessionDuty mSession;
    private final TaskDuty mTaskDuty;
    private final UsageReporter mUsageReporter;
    private final RequestDuty mRequests;
    private final AnnounceServer mAnnounceServer;
    private final FrameServer mFrameServer;
    private final FrameClient mFrameClient;
    private final HttpUpstreamCaller mCaller;
    private final long mIncarnation;
    private volatile int mDataPort;
    private volatile int mAnnouncePort;
    private long mTimer;

    /**
     * Creates an agent without starting it; see {@link #start()}.
     *
     * @param settings settings of the agent
     * @param vertx event loops
     * @param clock source of time; the wall-clock time at creation becomes the agent's incarnation
     * @param worker client of the VM's worker
     * @param registry registry for the metrics
     */
    public AgentDaemon(
            AgentSettings settings,
            Vertx vertx,
            Clock clock,
            Worker worker,
            MetricRegistry registry) {
        mSettings = settings;
        mVertx = vertx;
        mClock = clock;
        mContext = vertx.getOrCreateContext();
        mIncarnation = clock.wallTime().toEpochMilli();
        mDuty = new DutyThread("agent-duty", RING_CAPACITY, this::step, DUTY_STEP);
        AttemptTable attemptTable = new AttemptTable(settings.capacity(), clock);
        PermitCheck permits = new PermitCheck(clock);
        SessionTimer timer = new SessionTimer(clock);
        ConfigState config = new ConfigState(settings.dataCentre());
        mTaskDuty =
                new TaskDuty(
                        attemptTable,
                        worker,
                        permits,
                        timer,
                        config,
                        clock,
                        mDuty::execute,
                        report -> session().report(report));
        mUsageReporter =
                new UsageReporter(worker, clock, mDuty::execute, new ServiceLatencies(registry));
        mFrameClient = new FrameClient(vertx, FrameTimeouts.DEFAULT, registry);
        mSession =
                new SessionDuty(
                        settings,
                        clock,
                        new FrameControlLinkOpener(mFrameClient, this::hello, mDuty::execute),
                        attemptTable,
                        permits,
                        timer,
                        config,
                        mTaskDuty,
                        mUsageReporter,
                        new Backoff(RandomGenerator.getDefault()),
                        generation -> onLoop(requests()::markConfigured));
        AnnouncementTable upstreams = new AnnouncementTable(clock, this::upstreamChanged);
        mCaller = new HttpUpstreamCaller(vertx);
        mRequests = new RequestDuty(clock, upstreams, mCaller, DuplicateLimits.AGENT, registry);
        mAnnounceServer = new AnnounceServer(vertx, upstreams);
        mFrameServer =
                new FrameServer(
                        vertx, settings.daemon(), mIncarnation, FrameTimeouts.DEFAULT, registry);
    }

    /**
     * Opens the listeners and starts the control thread, which connects to the owner of the VM's
     * partition.
     *
     * @return completes when the listeners are open; fails if a listener cannot be opened
     */
    public Uni<Void> start() {
        return onLoop(
                        mFrameServer
                                .listen(mSettings.host(), mSettings.dataPort(), this::accept)
                                .invoke(port -> mDataPort = port)
                                .chain(() -> mAnnounceServer.listen(mSettings.announcePort()))
                                .invoke(port -> mAnnouncePort = port))
                .invoke(this::started)
                .replaceWithVoid();
    }

    /**
     * Stops gracefully: reports the upstreams as leaving, accepts no new requests, moves the event
     * streams, waits for the requests in flight for at most {@link #STOP_LIMIT}, and renews the
     * task leases. The tasks keep running at the worker.
     *
     * @return completes when everything is closed
     */
    public Uni<Void> stop() {
        CompletableFuture<Void> idle = new CompletableFuture<>();
        onLoop(
                () -> {
                    mRequests.stop();
                    mDuty.execute(mSession::heartbeat);
                    awaitIdle(idle, mClock.monotonicNanos() + STOP_LIMIT.toNanos());
                });
        return Uni.createFrom()
                .completionStage(idle)
                .chain(mAnnounceServer::close)
                .chain(mFrameServer::close)
                .chain(this::stopDuty)
                .invoke(this::close);
    }

    /**
     * Returns the port on which the agent accepts requests from entries.
     *
     * @return the port in use after {@link #start()}
     */
    public int dataPort() {
        return mDataPort;
    }

    /**
     * Returns the loopback port on which the agent accepts announcements of upstreams.
     *
     * @return the port in use after {@link #start()}
     */
    public int announcePort() {
        return mAnnouncePort;
    }

    private SessionDuty session() {
        return mSession;
    }

    private RequestDuty requests() {
        return mRequests;
    }

    private Hello hello() {
        return new Hello(
                DaemonRole.AGENT,
                mSettings.daemon(),
                mIncarnation,
                mSettings.dataCentre(),
                FrameCodec.MIN_VERSION,
                FrameCodec.MAX_VERSION);
    }

    private void started() {
        mSession.setDataPort(mDataPort);
        mContext.runOnContext(
                ignored ->
                        mTimer =
                                mVertx.setPeriodic(REQUEST_STEP_MILLIS, timer -> mRequests.step()));
        mDuty.start();
        LOG.info(
                "[agent] {} accepts requests on {}:{} and announcements on port {}",
                mSettings.daemon(),
                mSettings.host(),
                mDataPort,
                mAnnouncePort);
    }

    private void step() {
        mTaskDuty.step();
        mUsageReporter.step();
        mSession.step();
    }

    private void accept(FrameConnection connection) {
        EntryConnection entryConnection =
                new EntryConnection(
                        new AnswerSender() {
                            @Override
                            public boolean send(Message message) {
                                return connection.send(message);
                            }

                            @Override
                            public boolean writable() {
                                return connection.isWritable();
                            }
                        });
        connection.closeHandler(() -> mRequests.handleDisconnect(entryConnection));
        connection.drainHandler(() -> mRequests.resumePaused(entryConnection));
        connection.messageHandler(message -> mRequests.handleMessage(entryConnection, message));
    }

    private void upstreamChanged(UpstreamState state) {
        LOG.info(
                "[agent] upstream {} of {} is {}",
                state.address(),
                state.service(),
                state.gone() ? "gone" : state.leaving() ? "leaving" : "ready");
        offer(state);
    }

    /**
     * Passes a changed state to the control thread, and retries later if the event queue is full.
     */
    private void offer(UpstreamState state) {
        boolean accepted =
                mDuty.execute(
                        () -> {
                            mSession.upstreamChanged(state);
                            mSession.heartbeat();
                        });
        if (!accepted) {
            mVertx.setTimer(REQUEST_STEP_MILLIS, ignored -> offer(state));
        }
    }

    private void awaitIdle(CompletableFuture<Void> idle, long limitNanos) {
        if (mRequests.isIdle() || mClock.monotonicNanos() - limitNanos >= 0) {
            idle.complete(null);
        } else {
            mVertx.setTimer(REQUEST_STEP_MILLIS, ignored -> awaitIdle(idle, limitNanos));
        }
    }

    private Uni<Void> stopDuty() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        boolean accepted =
                mDuty.execute(
                        () -> {
                            mSession.stop();
                            mTaskDuty
                                    .renewBeforeStop()
                                    .subscribe()
                                    .with(
                                            ignored -> stopped.complete(null),
                                            e -> stopped.complete(null));
                        });
        if (!accepted) {
            stopped.complete(null);
        }
        return Uni.createFrom().completionStage(stopped);
    }

    private void close() {
        mVertx.cancelTimer(mTimer);
        mDuty.close();
        mCaller.close();
        mFrameClient.close();
        LOG.info("[agent] {} has stopped", mSettings.daemon());
    }

    private void onLoop(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private <T> Uni<T> onLoop(Uni<T> action) {
        return action.runSubscriptionOn(command -> onLoop(command));
    }
}
