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
 * Key-value store behind the HTTP/JSON gateway of an etcd v3 service. Results are given on one
 * event loop, which must not be blocked. A call goes to the next endpoint when no connection could
 * be made; a write that may have been received is never sent again.
 */
public final class EtcdGatewayStore implements KeyValueStore {
    private static final Logger LOG = LogManager.getLogger(EtcdGatewayStore.class);
    private static final int OK = 200;
    private static final int MAX_CONNECTIONS = 8;
    private static final int MAX_WAITING_CALLS = 256;
    private static final int MAX_WATCHES = 16;

    private final Vertx mVertx;
    private final EtcdSettings mSettings;
    private final List<EtcdEndpoint> mEndpoints;
    private final Context mContext;
    private final HttpClient mClient;
    private final HttpClient mWatchClient;
    private int mPreferred;
    private volatile boolean mClosed;

    /**
     * Creates the adapter; connections are made when they are needed.
     *
     * @param vertx runs the connections
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
                        .setMaxWaitQueueSize(MAX_WAITING_CALLS)
                        .setTcpKeepAlive(true);
        mClient =
                vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
        mWatchClient =
                vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_WATCHES));
    }

    /** Decodes a body. */
    private interface Decoder<T> {
        T decode(byte[] body) throws MalformedAnswerException;
    }

    @Override
    public Uni<StoreResult<KeyRange>> get(String key) {
        return call("/v3/kv/range", EtcdEncoder.get(key), false, EtcdDecoder::range);
    }

    @Override
    public Uni<StoreResult<KeyRange>> range(String prefix, int limit) {
        return rangeFrom(prefix, prefix, limit);
    }

    @Override
    public Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit) {
        byte[] body = EtcdEncoder.range(from, KeyPrefix.end(prefix), limit);
        return call("/v3/kv/range", body, false, EtcdDecoder::range);
    }

    @Override
    public Uni<StoreResult<TransactionResult>> transact(Transaction transaction) {
        return call(
                "/v3/kv/txn",
                EtcdEncoder.transaction(transaction),
                transaction.writes(),
                body -> EtcdDecoder.transaction(transaction, body));
    }

    @Override
    public Uni<StoreResult<Long>> grantLease(Duration ttl) {
        return call("/v3/lease/grant", EtcdEncoder.grant(ttl), true, EtcdDecoder::granted);
    }

    @Override
    public Uni<StoreResult<Boolean>> keepAlive(long leaseId) {
        return call("/v3/lease/keepalive", EtcdEncoder.lease(leaseId), true, EtcdDecoder::renewed);
    }

    @Override
    public Uni<StoreResult<Boolean>> revoke(long leaseId) {
        Uni<StoreResult<Boolean>> revoked =
                call(
                        "/v3/lease/revoke",
                        EtcdEncoder.lease(leaseId),
                        true,
                        body -> EtcdJson.parse(body) != null);
        return revoked.map(EtcdGatewayStore::missingLeaseIsNotHeld);
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

    private static StoreResult<Boolean> missingLeaseIsNotHeld(StoreResult<Boolean> result) {
        boolean missing =
                result instanceof StoreResult.Rejected<Boolean>(String reason)
                        && reason.contains("lease not found");
        return missing ? new StoreResult.Succeeded<>(false) : result;
    }

    private <T> Uni<StoreResult<T>> call(
            String path, byte[] body, boolean write, Decoder<T> decoder) {
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            if (mClosed) {
                                emitter.complete(new StoreResult.Unavailable<>("store is closed"));
                                return;
                            }
                            Call<T> call =
                                    new Call<>(path, body, write, decoder, emitter::complete);
                            mContext.runOnContext(ignored -> call.attempt());
                        });
    }

    /** A call with its attempts at one endpoint after the other. */
    private final class Call<T> {
        private final String mPath;
        private final byte[] mBody;
        private final boolean mWrite;
        private final Decoder<T> mDecoder;
        private final Consumer<StoreResult<T>> mListener;
        private int mAttempts;
        private int mEndpoint;

        private Call(
                String path,
                byte[] body,
                boolean write,
                Decoder<T> decoder,
                Consumer<StoreResult<T>> listener) {
            mPath = path;
            mBody = body;
            mWrite = write;
            mDecoder = decoder;
            mListener = listener;
        }

        private void attempt() {
            mEndpoint = mPreferred;
            mAttempts++;
            EtcdRequest.send(
                    mVertx,
                    mClient,
                    mSettings,
                    mEndpoints.get(mEndpoint),
                    mPath,
                    mBody,
                    this::ended);
        }

        private void ended(HttpOutcome outcome) {
            switch (outcome) {
                case HttpOutcome.Answered(int status, byte[] body) ->
                        mListener.accept(
                                status == OK
                                        ? decode(body)
                                        : EtcdFailure.ofStatus(status, body, mWrite));
                case HttpOutcome.NotSent(String reason) -> {
                    avoidEndpoint();
                    if (mAttempts < mEndpoints.size()) {
                        attempt();
                    } else {
                        mListener.accept(new StoreResult.Unavailable<>(reason));
                    }
                }
                case HttpOutcome.Lost(String reason) -> {
                    avoidEndpoint();
                    mListener.accept(EtcdFailure.afterSending(reason, mWrite));
                }
            }
        }

        private StoreResult<T> decode(byte[] body) {
            try {
                return new StoreResult.Succeeded<>(mDecoder.decode(body));
            } catch (MalformedAnswerException e) {
                LOG.warn("[store] malformed answer to {}: {}", mPath, e.getMessage());
                return EtcdFailure.afterSending("malformed answer: " + e.getMessage(), mWrite);
            }
        }

        private void avoidEndpoint() {
            if (mPreferred == mEndpoint) {
                mPreferred = (mEndpoint + 1) % mEndpoints.size();
            }
        }
    }
}
