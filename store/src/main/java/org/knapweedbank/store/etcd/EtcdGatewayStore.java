package org.knapweedbank.store.etcd;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.KeyPrefix;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.StoreWatch;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;
import org.knapweedbank.store.WatchListener;

/**
 * Client of the HTTP/JSON gateway of an etcd v3 service. Results are delivered on one event loop,
 * which must not be blocked. A call is sent to the next endpoint if no connection could be made; a
 * write that the service may have received is never sent again.
 */
public final class EtcdGatewayStore implements KeyValueStore {
    private static final Logger LOG = LogManager.getLogger(EtcdGatewayStore.class);
    private static final int STATUS_OK = 200;
    private static final int MAX_CONNECTIONS = 8;
    private static final int MAX_QUEUED_CALLS = 256;
    private static final int MAX_WATCHES = 16;

    private final Vertx mVertx;
    private final EtcdSettings mSettings;
    private final List<EtcdEndpoint> mEndpoints;
    private final Context mContext;
    private final HttpClient mClient;
    private final HttpClient mWatchClient;
    private int mPreferredEndpointIndex;
    private volatile boolean mClosed;

    /**
     * Creates the client. Connections are opened when they are needed.
     *
     * @param vertx provides the event loop and the connections
     * @param settings endpoints and limits
     */
    public EtcdGatewayStore(Vertx vertx, EtcdSettings settings) {
        mVertx = vertx;
        mSettings = settings;
        mEndpoints = settings.endpoints().stream().map(EtcdEndpoint::parse).toList();
        mContext = vertx.getOrCreateContext();
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout((int) settings.connectTimeout().toMillis())
                        .setMaxWaitQueueSize(MAX_QUEUED_CALLS)
                        .setTcpKeepAlive(true);
        mClient =
                vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
        mWatchClient =
                vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_WATCHES));
    }

    /** Decodes the body of a response. */
    private interface BodyDecoder<T> {
        T decode(byte[] body) throws MalformedResponseException;
    }

    @Override
    public Uni<StoreResult<KeyRange>> get(String key) {
        return call("/v3/kv/range", EtcdEncoder.encodeGet(key), false, EtcdDecoder::decodeRange);
    }

    @Override
    public Uni<StoreResult<KeyRange>> range(String prefix, int limit) {
        return rangeFrom(prefix, prefix, limit);
    }

    @Override
    public Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit) {
        byte[] body = EtcdEncoder.encodeRange(from, KeyPrefix.rangeEnd(prefix), limit);
        return call("/v3/kv/range", body, false, EtcdDecoder::decodeRange);
    }

    @Override
    public Uni<StoreResult<TransactionResult>> transact(Transaction transaction) {
        return call(
                "/v3/kv/txn",
                EtcdEncoder.encodeTransaction(transaction),
                transaction.mayWrite(),
                body -> EtcdDecoder.decodeTransaction(transaction, body));
    }

    @Override
    public Uni<StoreResult<Long>> grantLease(Duration ttl) {
        return call(
                "/v3/lease/grant",
                EtcdEncoder.encodeLeaseGrant(ttl),
                true,
                EtcdDecoder::decodeGrantedLeaseId);
    }

    @Override
    public Uni<StoreResult<Boolean>> keepAlive(long leaseId) {
        return call(
                "/v3/lease/keepalive",
                EtcdEncoder.encodeLeaseId(leaseId),
                true,
                EtcdDecoder::decodeRenewal);
    }

    @Override
    public Uni<StoreResult<Boolean>> revoke(long leaseId) {
        Uni<StoreResult<Boolean>> revoked =
                call(
                        "/v3/lease/revoke",
                        EtcdEncoder.encodeLeaseId(leaseId),
                        true,
                        body -> EtcdJson.parseObject(body) != null);
        return revoked.map(EtcdGatewayStore::treatMissingLeaseAsNotHeld);
    }

    @Override
    public StoreWatch watch(String prefix, long fromRevision, WatchListener listener) {
        EtcdWatch watch =
                new EtcdWatch(
                        mVertx,
                        mWatchClient,
                        mSettings,
                        mEndpoints,
                        prefix,
                        fromRevision,
                        listener);
        mContext.runOnContext(ignored -> watch.open());
        return () -> mContext.runOnContext(ignored -> watch.close());
    }

    @Override
    public void close() {
        mClosed = true;
        mClient.close();
        mWatchClient.close();
    }

    private static StoreResult<Boolean> treatMissingLeaseAsNotHeld(StoreResult<Boolean> result) {
        boolean missing =
                result instanceof StoreResult.Rejected<Boolean>(String reason)
                        && reason.contains("lease not found");
        return missing ? new StoreResult.Succeeded<>(false) : result;
    }

    private <T> Uni<StoreResult<T>> call(
            String path, byte[] body, boolean mayWrite, BodyDecoder<T> decoder) {
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            if (mClosed) {
                                emitter.complete(new StoreResult.Unavailable<>("store is closed"));
                                return;
                            }
                            Call<T> call =
                                    new Call<>(path, body, mayWrite, decoder, emitter::complete);
                            mContext.runOnContext(ignored -> call.tryPreferredEndpoint());
                        });
    }

    /** Call that tries the endpoints one after the other until a request has been sent. */
    private final class Call<T> {
        private final String mPath;
        private final byte[] mBody;
        private final boolean mMayWrite;
        private final BodyDecoder<T> mDecoder;
        private final Consumer<StoreResult<T>> mListener;
        private int mAttempts;
        private int mEndpointIndex;

        private Call(
                String path,
                byte[] body,
                boolean mayWrite,
                BodyDecoder<T> decoder,
                Consumer<StoreResult<T>> listener) {
            mPath = path;
            mBody = body;
            mMayWrite = mayWrite;
            mDecoder = decoder;
            mListener = listener;
        }

        private void tryPreferredEndpoint() {
            mEndpointIndex = mPreferredEndpointIndex;
            mAttempts++;
            EtcdRequest.send(
                    mVertx,
                    mClient,
                    mSettings,
                    mEndpoints.get(mEndpointIndex),
                    mPath,
                    mBody,
                    this::handleOutcome);
        }

        private void handleOutcome(HttpOutcome outcome) {
            switch (outcome) {
                case HttpOutcome.ResponseReceived(int status, byte[] body) ->
                        mListener.accept(
                                status == STATUS_OK
                                        ? decode(body)
                                        : EtcdFailure.resultOfErrorResponse(
                                                status, body, mMayWrite));
                case HttpOutcome.NotSent(String reason) -> {
                    preferNextEndpoint();
                    if (mAttempts < mEndpoints.size()) {
                        tryPreferredEndpoint();
                    } else {
                        mListener.accept(new StoreResult.Unavailable<>(reason));
                    }
                }
                case HttpOutcome.NoUsableResponse(String reason) -> {
                    preferNextEndpoint();
                    mListener.accept(EtcdFailure.resultAfterSending(reason, mMayWrite));
                }
            }
        }

        private StoreResult<T> decode(byte[] body) {
            try {
                return new StoreResult.Succeeded<>(mDecoder.decode(body));
            } catch (MalformedResponseException e) {
                LOG.warn("[store] malformed response to {}: {}", mPath, e.getMessage());
                return EtcdFailure.resultAfterSending(
                        "malformed response: " + e.getMessage(), mMayWrite);
            }
        }

        private void preferNextEndpoint() {
            if (mPreferredEndpointIndex == mEndpointIndex) {
                mPreferredEndpointIndex = (mEndpointIndex + 1) % mEndpoints.size();
            }
        }
    }
}
