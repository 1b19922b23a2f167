package org.knapweedbank.entry;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.entry.http.CallerListener;
import org.knapweedbank.entry.membership.FrameListener;
import org.knapweedbank.entry.membership.Membership;
import org.knapweedbank.entry.upstream.RoutingState;
import org.knapweedbank.time.Clock;

/**
 * Entry role of a daemon. Owns the listeners for callers, for operators, and for agents and other
 * entries.
 */
public final class EntryDaemon {
    private static final Logger LOG = LogManager.getLogger(EntryDaemon.class);

    private final EntrySettings mSettings;
    private final Vertx mVertx;
    private final EntryDependencies mDependencies;
    private final Context mRoutingLoop;
    private final RoutingState mRoutingState;
    private final CallerListener mCallerListener;
    private final Membership mMembership;
    private final FrameListener mFrameListener;
    private final Router mOperatorRouter;
    private final HttpServer mOperatorServer;
    private volatile int mCallerPort;
    private volatile int mFramePort;
    private volatile int mOperatorPort;

    /**
     * Creates the daemon; {@link #start()} opens its ports.
     *
     * @param settings settings of the entry
     * @param vertx Vert.x instance that provides the event loops
     * @param clock monotonic clock
     * @param registry registry for the metrics
     * @param dependencies injected services, configuration source and operator routes
     */
    public EntryDaemon(
            EntrySettings settings,
            Vertx vertx,
            Clock clock,
            MetricRegistry registry,
            EntryDependencies dependencies) {
        mSettings = settings;
        mVertx = vertx;
        mDependencies = dependencies;
        mRoutingLoop = vertx.getOrCreateContext();
        mRoutingState = new RoutingState(settings, vertx, clock, registry);
        mCallerListener =
                new CallerListener(
                        settings,
                        vertx,
                        clock,
                        registry,
                        mRoutingState,
                        dependencies.claimService());
        mMembership =
                new Membership(
                        settings,
                        vertx,
                        clock,
                        registry,
                        dependencies,
                        mRoutingLoop,
                        mRoutingState);
        mOperatorRouter = Router.router(vertx);
        OperatorCallHandler operatorCallHandler =
                dependencies.operatorMount().mount(mOperatorRouter, mMembership, mMembership);
        mFrameListener =
                new FrameListener(
                        settings,
                        vertx,
                        registry,
                        dependencies.controlService(),
                        mMembership,
                        operatorCallHandler);
        mOperatorServer = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
    }

    /**
     * Opens the ports and starts to serve requests.
     *
     * @return completes when all listeners are open; fails if a port cannot be opened
     */
    public Uni<Void> start() {
        return mFrameListener
                .listen()
                .invoke(port -> mFramePort = port)
                .invoke(this::startMembershipAndRouting)
                .chain(() -> onRoutingLoop(mCallerListener::listen))
                .invoke(port -> mCallerPort = port)
                .chain(this::listenForOperators)
                .invoke(
                        () ->
                                LOG.info(
                                        "[entry] {} serves callers on port {}, agents and entries"
                                                + " on port {}, operators on port {}",
                                        mSettings.daemon(),
                                        mCallerPort,
                                        mFramePort,
                                        mOperatorPort));
    }

    /**
     * Drains and stops the daemon. First the health check fails. After the drain delay, new
     * requests are rejected and event streams end at event boundaries, so that their callers
     * reconnect to another entry. When the requests in flight have finished or the drain timeout
     * has passed, the ports are closed.
     *
     * @return completes when all listeners and connections are closed
     */
    public Uni<Void> stop() {
        LOG.info(
                "[entry] {} is stopping; new requests are accepted for another {}",
                daemonId(),
                mSettings.drainDelay());
        return onRoutingLoop(() -> run(mCallerListener::failHealth))
                .chain(() -> delay(mSettings.drainDelay()))
                .chain(() -> onRoutingLoop(() -> run(this::stopServingCallers)))
                .chain(this::awaitIdle)
                .chain(() -> onRoutingLoop(mCallerListener::close))
                .chain(this::closeOperators)
                .invoke(mMembership::stop)
                .chain(mFrameListener::close)
                .chain(() -> onRoutingLoop(() -> run(mRoutingState::close)))
                .invoke(() -> LOG.info("[entry] {} has stopped", daemonId()));
    }

    /**
     * Returns the port of the listener for callers.
     *
     * @return the port, or 0 before the start
     */
    public int callerPort() {
        return mCallerPort;
    }

    /**
     * Returns the port of the listener for agents and other entries.
     *
     * @return the port, or 0 before the start
     */
    public int framePort() {
        return mFramePort;
    }

    /**
     * Returns the port of the listener for operators.
     *
     * @return the port, or 0 before the start
     */
    public int operatorPort() {
        return mOperatorPort;
    }

    private String daemonId() {
        return mSettings.daemon().value();
    }

    private void startMembershipAndRouting() {
        mDependencies
                .configurationSource()
                .subscribe(
                        site ->
                                mRoutingLoop.runOnContext(
                                        ignored -> mRoutingState.configure(site)));
        mMembership.start(mSettings.advertisedHost() + ":" + mFramePort);
    }

    private void stopServingCallers() {
        mCallerListener.stopAccepting();
        mCallerListener.endStreams();
    }

    /** Waits until no request is in flight, at most for the drain timeout. */
    private Uni<Void> awaitIdle() {
        Uni<Void> idle =
                Uni.createFrom()
                        .emitter(
                                emitter ->
                                        mRoutingLoop.runOnContext(
                                                ignored ->
                                                        mCallerListener.whenIdle(
                                                                () -> emitter.complete(null))));
        return idle.ifNoItem()
                .after(mSettings.drainTimeout())
                .recoverWithUni(
                        () -> {
                            LOG.warn(
                                    "[entry] drain timeout exceeded; aborting {} open requests",
                                    mCallerListener.openRequestCount());
                            return Uni.createFrom().voidItem();
                        });
    }

    private Uni<Void> listenForOperators() {
        mOperatorServer.requestHandler(mOperatorRouter);
        ListenAddress address = mSettings.operatorAddress();
        return Uni.createFrom()
                .completionStage(
                        () ->
                                mOperatorServer
                                        .listen(address.port(), address.host())
                                        .toCompletionStage())
                .invoke(server -> mOperatorPort = server.actualPort())
                .replaceWithVoid();
    }

    private Uni<Void> closeOperators() {
        return Uni.createFrom().completionStage(() -> mOperatorServer.close().toCompletionStage());
    }

    private Uni<Void> delay(Duration duration) {
        if (duration.isZero()) {
            return Uni.createFrom().voidItem();
        }
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                mVertx.setTimer(
                                        duration.toMillis(), ignored -> emitter.complete(null)));
    }

    /** Runs an action and returns a completed Uni. */
    private static Uni<Void> run(Runnable action) {
        action.run();
        return Uni.createFrom().voidItem();
    }

    /** Runs an action on the routing event loop and passes on its result. */
    private <T> Uni<T> onRoutingLoop(Supplier<Uni<T>> action) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                mRoutingLoop.runOnContext(
                                        ignored ->
                                                action.get()
                                                        .subscribe()
                                                        .with(emitter::complete, emitter::fail)));
    }
}
