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
 * Simulates the etcd JSON gateway, which is the HTTP interface of the platform's key-value service,
 * on top of an {@link InMemoryStore}. While {@link StoreFaults} declares the store down, the server
 * stops listening and closes all connections. To lose a response, the server closes the connection
 * of the call.
 */
public final class EtcdGatewayServer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EtcdGatewayServer.class);
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int GRPC_INVALID_ARGUMENT = 3;
    private static final int GRPC_NOT_FOUND = 5;
    private static final String LEASE_NOT_FOUND_MESSAGE = "etcdserver: requested lease not found";

    private final Vertx mVertx;
    private final InMemoryStore mStore;
    private final RestartableHttpServer mServer;
    private final Context mContext;
    private long mTickTimerId = -1;

    /**
     * Creates the server.
     *
     * @param vertx runs the connections and timers
     * @param store the store that the server exposes
     * @param host address to listen on
     * @param port TCP port to listen on, or 0 for any free port
     */
    public EtcdGatewayServer(Vertx vertx, InMemoryStore store, String host, int port) {
        mVertx = vertx;
        mStore = store;
        mServer = new RestartableHttpServer(vertx, host, port, createRouter());
        mContext = mServer.context();
        store.faults().addDownListener(this::updateListening);
    }

    /** Handles the decoded body of a request. */
    private interface RequestHandler {
        void handle(RoutingContext context, ObjectNode body) throws BadRequestException;
    }

    /**
     * Starts listening and returns when the port is open. The method blocks, so it must not be
     * called on an event loop.
     */
    public void start() {
        updateListening();
    }

    /**
     * Calls {@link InMemoryStore#tick()} periodically, which expires leases and delivers delayed
     * responses.
     *
     * @param interval time between two ticks
     */
    public void scheduleTicks(Duration interval) {
        mTickTimerId = mVertx.setPeriodic(interval.toMillis(), ignored -> mStore.tick());
    }

    /**
     * Returns the TCP port of the server.
     *
     * @return the port; 0 if any free port was requested and the server has not started yet
     */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTickTimerId);
        mServer.close();
    }

    private void updateListening() {
        mServer.setListening(!mStore.faults().isDown());
    }

    private Router createRouter() {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        addRoute(router, "/v3/kv/range", this::range);
        addRoute(router, "/v3/kv/txn", this::transact);
        addRoute(router, "/v3/lease/grant", this::grant);
        addRoute(router, "/v3/lease/keepalive", this::keepAlive);
        addRoute(router, "/v3/lease/revoke", this::revoke);
        addRoute(router, "/v3/watch", this::watch);
        return router;
    }

    private static void addRoute(Router router, String path, RequestHandler handler) {
        router.post(path)
                .handler(
                        context -> {
                            try {
                                handler.handle(context, JsonBodies.parse(context.body().buffer()));
                            } catch (BadRequestException e) {
                                LOG.debug(
                                        "[standin] rejected a bad request to {}: {}",
                                        path,
                                        e.getMessage());
                                JsonBodies.respond(
                                        context,
                                        STATUS_BAD_REQUEST,
                                        GatewayResponses.error(
                                                GRPC_INVALID_ARGUMENT, e.getMessage()));
                            }
                        });
    }

    private void range(RoutingContext context, ObjectNode body) throws BadRequestException {
        GatewayRequests.Range range = GatewayRequests.decodeRange(body);
        StoreClient client = mStore.defaultClient();
        Uni<StoreResult<KeyRange>> call =
                range.to().isEmpty()
                        ? client.get(range.from())
                        : client.rangeBetween(range.from(), range.to(), range.limit());
        respondWhenDone(context, call, GatewayResponses::range);
    }

    private void transact(RoutingContext context, ObjectNode body) throws BadRequestException {
        Transaction transaction = GatewayRequests.decodeTransaction(body);
        respondWhenDone(
                context,
                mStore.transact(transaction),
                result -> GatewayResponses.transaction(transaction, result));
    }

    private void grant(RoutingContext context, ObjectNode body) throws BadRequestException {
        long seconds = JsonBodies.decodeLong(body.get("TTL"), "TTL");
        respondWhenDone(
                context,
                mStore.grantLease(Duration.ofSeconds(seconds)),
                id ->
                        GatewayResponses.withHeader(mStore.revision())
                                .put("ID", String.valueOf(id))
                                .put("TTL", String.valueOf(seconds)));
    }

    private void keepAlive(RoutingContext context, ObjectNode body) throws BadRequestException {
        long id = JsonBodies.decodeLong(body.get("ID"), "ID");
        respondWhenDone(
                context,
                mStore.keepAlive(id),
                isHeld -> {
                    ObjectNode result = GatewayResponses.withHeader(mStore.revision());
                    result.put("ID", String.valueOf(id));
                    if (isHeld) {
                        result.put("TTL", String.valueOf(mStore.ttl(id).toSeconds()));
                    }
                    ObjectNode message = JsonBodies.newObject();
                    message.set("result", result);
                    return message;
                });
    }

    private void revoke(RoutingContext context, ObjectNode body) throws BadRequestException {
        long id = JsonBodies.decodeLong(body.get("ID"), "ID");
        Uni<StoreResult<Boolean>> call =
                mStore.revoke(id)
                        .map(
                                result ->
                                        result.equals(new StoreResult.Succeeded<>(false))
                                                ? new StoreResult.Rejected<>(
                                                        LEASE_NOT_FOUND_MESSAGE)
                                                : result);
        respondWhenDone(context, call, ignored -> GatewayResponses.withHeader(mStore.revision()));
    }

    private void watch(RoutingContext context, ObjectNode body) throws BadRequestException {
        JsonNode createRequest = JsonBodies.field(body, "create_request", "createRequest");
        if (createRequest == null) {
            throw new BadRequestException("create_request is missing");
        }
        String prefix = GatewayRequests.decodeKey(createRequest.get("key"), "key");
        if (prefix.isEmpty()) {
            throw new BadRequestException("key is missing");
        }
        JsonNode startRevision = JsonBodies.field(createRequest, "start_revision", "startRevision");
        long revision = JsonBodies.decodeLong(startRevision, "start_revision");
        GatewayWatch.open(mStore, mContext, context.response(), prefix, revision);
    }

    private <T> void respondWhenDone(
            RoutingContext context,
            Uni<StoreResult<T>> call,
            Function<? super T, ObjectNode> encoder) {
        call.subscribe()
                .with(
                        result ->
                                mContext.runOnContext(
                                        ignored -> respondNow(context, result, encoder)));
    }

    private static <T> void respondNow(
            RoutingContext context,
            StoreResult<T> result,
            Function<? super T, ObjectNode> encoder) {
        switch (result) {
            case StoreResult.Succeeded<T>(T value) ->
                    JsonBodies.respond(context, STATUS_OK, encoder.apply(value));
            case StoreResult.Rejected<T>(String reason) -> {
                boolean isLeaseMissing = reason.contains("lease not found");
                JsonBodies.respond(
                        context,
                        isLeaseMissing ? STATUS_NOT_FOUND : STATUS_BAD_REQUEST,
                        GatewayResponses.error(
                                isLeaseMissing ? GRPC_NOT_FOUND : GRPC_INVALID_ARGUMENT, reason));
            }
            case StoreResult.Unavailable<T> ignored -> context.request().connection().close();
            case StoreResult.Unknown<T> ignored -> context.request().connection().close();
        }
    }
}
