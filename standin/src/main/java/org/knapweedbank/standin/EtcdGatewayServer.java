package org.knapweedbank.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.Transaction;

/**
 * HTTP stand-in for the gateway of the platform's key-value service, over an {@link InMemoryStore}.
 * While the store's faults say that it is down, the server does not listen and has closed all its
 * connections; a lost answer closes the connection of the call.
 */
public final class EtcdGatewayServer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EtcdGatewayServer.class);
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CODE_INVALID_ARGUMENT = 3;
    private static final int CODE_NOT_FOUND = 5;
    private static final String LEASE_NOT_FOUND = "etcdserver: requested lease not found";

    private final Vertx mVertx;
    private final InMemoryStore mStore;
    private final SwitchedHttpServer mServer;
    private final Context mContext;
    private long mTimer = -1;

    /**
     * Creates the server.
     *
     * @param vertx runs the connections
     * @param store the store behind it
     * @param host address to listen on
     * @param port port to listen on, or 0 for any
     */
    public EtcdGatewayServer(Vertx vertx, InMemoryStore store, String host, int port) {
        mVertx = vertx;
        mStore = store;
        mServer = new SwitchedHttpServer(vertx, host, port, router());
        mContext = mServer.context();
        store.faults().onDownChanged(this::updateListening);
    }

    /** A call of the store that is made for a request. */
    private interface Handler {
        void handle(RoutingContext context, ObjectNode body) throws BadRequestException;
    }

    /** Starts to listen and returns when the port is open. Not to be called on an event loop. */
    public void start() {
        updateListening();
    }

    /**
     * Lets the server call {@link InMemoryStore#tick()}, which expires leases and gives delayed
     * answers.
     *
     * @param interval time between two calls
     */
    public void tickEvery(Duration interval) {
        mTimer = mVertx.setPeriodic(interval.toMillis(), ignored -> mStore.tick());
    }

    /**
     * The port on which the server listens.
     *
     * @return the port
     */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTimer);
        mServer.close();
    }

    private void updateListening() {
        mServer.listening(!mStore.faults().isDown());
    }

    private Router router() {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        route(router, "/v3/kv/range", this::range);
        route(router, "/v3/kv/txn", this::transact);
        route(router, "/v3/lease/grant", this::grant);
        route(router, "/v3/lease/keepalive", this::keepAlive);
        route(router, "/v3/lease/revoke", this::revoke);
        route(router, "/v3/watch", this::watch);
        return router;
    }

    private static void route(Router router, String path, Handler handler) {
        router.post(path)
                .handler(
                        context -> {
                            try {
                                handler.handle(context, JsonBodies.parse(context.body().buffer()));
                            } catch (BadRequestException e) {
                                LOG.debug("[standin] bad request to {}: {}", path, e.getMessage());
                                JsonBodies.answer(
                                        context,
                                        BAD_REQUEST,
                                        GatewayAnswers.error(
                                                CODE_INVALID_ARGUMENT, e.getMessage()));
                            }
                        });
    }

    private void range(RoutingContext context, ObjectNode body) throws BadRequestException {
        GatewayRequests.Range range = GatewayRequests.range(body);
        StoreClient client = mStore.defaultClient();
        Uni<StoreResult<KeyRange>> call =
                range.to().isEmpty()
                        ? client.get(range.from())
                        : client.rangeBetween(range.from(), range.to(), range.limit());
        answer(context, call, GatewayAnswers::range);
    }

    private void transact(RoutingContext context, ObjectNode body) throws BadRequestException {
        Transaction transaction = GatewayRequests.transaction(body);
        answer(
                context,
                mStore.transact(transaction),
                result -> GatewayAnswers.transaction(transaction, result));
    }

    private void grant(RoutingContext context, ObjectNode body) throws BadRequestException {
        long seconds = JsonBodies.number(body.get("TTL"), "TTL");
        answer(
                context,
                mStore.grantLease(Duration.ofSeconds(seconds)),
                id ->
                        GatewayAnswers.withHeader(mStore.revision())
                                .put("ID", String.valueOf(id))
                                .put("TTL", String.valueOf(seconds)));
    }

    private void keepAlive(RoutingContext context, ObjectNode body) throws BadRequestException {
        long id = JsonBodies.number(body.get("ID"), "ID");
        answer(
                context,
                mStore.keepAlive(id),
                held -> {
                    ObjectNode result = GatewayAnswers.withHeader(mStore.revision());
                    result.put("ID", String.valueOf(id));
                    if (held) {
                        result.put("TTL", String.valueOf(mStore.ttl(id).toSeconds()));
                    }
                    ObjectNode message = JsonBodies.object();
                    message.set("result", result);
                    return message;
                });
    }

    private void revoke(RoutingContext context, ObjectNode body) throws BadRequestException {
        long id = JsonBodies.number(body.get("ID"), "ID");
        Uni<StoreResult<Boolean>> call =
                mStore.revoke(id)
                        .map(
                                result ->
                                        result.equals(new StoreResult.Succeeded<>(false))
                                                ? new StoreResult.Rejected<>(LEASE_NOT_FOUND)
                                                : result);
        answer(context, call, ignored -> GatewayAnswers.withHeader(mStore.revision()));
    }

    private void watch(RoutingContext context, ObjectNode body) throws BadRequestException {
        JsonNode create = JsonBodies.field(body, "create_request", "createRequest");
        if (create == null) {
            throw new BadRequestException("create_request is missing");
        }
        String prefix = GatewayRequests.key(create.get("key"), "key");
        if (prefix.isEmpty()) {
            throw new BadRequestException("key is missing");
        }
        JsonNode start = JsonBodies.field(create, "start_revision", "startRevision");
        long revision = JsonBodies.number(start, "start_revision");
        GatewayWatch.open(mStore, mContext, context.response(), prefix, revision);
    }

    private <T> void answer(
            RoutingContext context,
            Uni<StoreResult<T>> call,
            Function<? super T, ObjectNode> encoder) {
        call.subscribe()
                .with(
                        result ->
                                mContext.runOnContext(
                                        ignored -> answerNow(context, result, encoder)));
    }

    private static <T> void answerNow(
            RoutingContext context,
            StoreResult<T> result,
            Function<? super T, ObjectNode> encoder) {
        switch (result) {
            case StoreResult.Succeeded<T>(T value) ->
                    JsonBodies.answer(context, OK, encoder.apply(value));
            case StoreResult.Rejected<T>(String reason) -> {
                boolean lease = reason.contains("lease not found");
                JsonBodies.answer(
                        context,
                        lease ? NOT_FOUND : BAD_REQUEST,
                        GatewayAnswers.error(
                                lease ? CODE_NOT_FOUND : CODE_INVALID_ARGUMENT, reason));
            }
            case StoreResult.Unavailable<T> ignored -> context.request().connection().close();
            case StoreResult.Unknown<T> ignored -> context.request().connection().close();
        }
    }
}
