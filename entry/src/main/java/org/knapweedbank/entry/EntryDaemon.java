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

/** Entry role of a daemon: callers, operators, agents and other entries. */
public final class EntryDaemon {
    private static final Logger LOG = LogManager.getLogger(EntryDaemon.class);

    private final EntrySettings mSettings;
    private final Vertx mVertx;
    private final EntryParts mParts;
    private final Context mRoutingLoop;
    private final RoutingState mRouting;
    private final CallerListener mCallers;
    private final Membership mMembership;
    private final FrameListener mFrames;
    private final Router mOperatorRouter;
    private final HttpServer mOperators;
    private volatile int mCallerPort;
    private volatile int mFramePort;
    private volatile int mOperatorPort;

    /**
     * Creates the daemon; {@link #start()} opens its ports.
     *
     * @param settings settings
     * @param vertx event loops
     * @param clock clock
     * @param registry receives the metrics
     * @param parts parts that the daemon is built from
     */
    public EntryDaemon(
            EntrySettings settings,
            Vertx vertx,
            Clock clock,
            MetricRegistry registry,
            EntryParts parts) {
        mSettings = settings;
        mVertx = vertx;
        mParts = parts;
        mRoutingLoop = vertx.getOrCreateContext();
        mRouting = new RoutingState(settings, vertx, clock, registry);
        mCallers = new CallerListener(settings, vertx, clock, registry, mRouting, parts.claims());
        mMembership =
                new Membership(settings, vertx, clock, registry, parts, mRoutingLoop, mRouting);
        mOperatorRouter = Router.router(vertx);
        OperatorCallHandler calls =
                parts.operators().mount(mOperatorRouter, mMembership, mMembership);
        mFrames = new FrameListener(settings, vertx, registry, parts.control(), mMembership, calls);
        mOperators = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
    }

    /**
     * Opens the ports and starts to serve.
     *
     * @return completes when all listeners are open; fails when a port cannot be opened
     */
    public Uni<Void> start() {
        return mFrames.listen()
                .invoke(port -> mFramePort = port)
                .invoke(this::startDuties)
                .chain(() -> onRoutingLoop(mCallers::listen))
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
     * Stops gracefully: the health check fails, after the drain delay new requests are refused,
     * requests in flight are finished, event streams end after whole events so that their callers
     * continue elsewhere, and the ports are closed.
     *
     * @return completes when everything is closed
     */
    public Uni<Void> stop() {
        LOG.info("[entry] {} stops; new requests are taken for {}", id(), mSettings.drainDelay());
        return onRoutingLoop(() -> done(mCallers::failHealth))
                .chain(() -> delay(mSettings.drainDelay()))
                .chain(() -> onRoutingLoop(() -> done(this::stopCallers)))
                .chain(this::drained)
                .chain(() -> onRoutingLoop(mCallers::close))
                .chain(this::closeOperators)
                .invoke(mMembership::stop)
                .chain(mFrames::close)
                .chain(() -> onRoutingLoop(() -> done(mRouting::close)))
                .invoke(() -> LOG.info("[entry] {} has stopped", id()));
    }

    /**
     * Port of the listener for callers.
     *
     * @return the port, or 0 before the start
     */
    public int callerPort() {
        return mCallerPort;
    }

    /**
     * Port of the listener for agents and entries.
     *
     * @return the port, or 0 before the start
     */
    public int framePort() {
        return mFramePort;
    }

    /**
     * Port of the listener for operators.
     *
     * @return the port, or 0 before the start
     */
    public int operatorPort() {
        return mOperatorPort;
    }

    private String id() {
        return mSettings.daemon().value();
    }

    private void startDuties() {
        mParts.source()
                .subscribe(site -> mRoutingLoop.runOnContext(ignored -> mRouting.configure(site)));
        mMembership.start(mSettings.advertisedHost() + ":" + mFramePort);
    }

    private void stopCallers() {
        mCallers.stopAccepting();
        mCallers.endStreams();
    }

    private Uni<Void> drained() {
        Uni<Void> idle =
                Uni.createFrom()
                        .emitter(
                                emitter ->
                                        mRoutingLoop.runOnContext(
                                                ignored ->
                                                        mCallers.whenIdle(
                                                                () -> emitter.complete(null))));
        return idle.ifNoItem()
                .after(mSettings.drainTimeout())
                .recoverWithUni(
                        () -> {
                            LOG.warn("[entry] {} requests are broken off", mCallers.open());
                            return Uni.createFrom().voidItem();
                        });
    }

    private Uni<Void> listenForOperators() {
        mOperators.requestHandler(mOperatorRouter);
        ListenAddress address = mSettings.operators();
        return Uni.createFrom()
                .completionStage(
                        () -> mOperators.listen(address.port(), address.host()).toCompletionStage())
                .invoke(server -> mOperatorPort = server.actualPort())
                .replaceWithVoid();
    }

    private Uni<Void> closeOperators() {
        return Uni.createFrom().completionStage(() -> mOperators.close().toCompletionStage());
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

    private static Uni<Void> done(Runnable action) {
        action.run();
        return Uni.createFrom().voidItem();
    }

    /** Runs an action on the routing event loop. */
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
