package org.knapweedbank.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Announces an upstream to the agent beside it, again and again. */
final class UpstreamAnnouncer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(UpstreamAnnouncer.class);
    private static final int TIMEOUT_MILLIS = 1000;
    private static final int SUCCESS_END = 300;

    private final Vertx mVertx;
    private final UpstreamSettings mSettings;
    private final String mAddress;
    private final HttpClient mClient;
    private boolean mLeaving;
    private boolean mFailing;
    private boolean mClosed;
    private long mTimer = -1;

    UpstreamAnnouncer(Vertx vertx, UpstreamSettings settings, String address) {
        mVertx = vertx;
        mSettings = settings;
        mAddress = address;
        mClient = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(TIMEOUT_MILLIS));
    }

    synchronized void start() {
        if (mSettings.agent().isEmpty()) {
            return;
        }
        mTimer = mVertx.setPeriodic(mSettings.announceInterval().toMillis(), ignored -> announce());
        announce();
    }

    synchronized void leave() {
        mLeaving = true;
        if (!mSettings.agent().isEmpty()) {
            announce();
        }
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        mVertx.cancelTimer(mTimer);
        mClient.close();
    }

    private synchronized void announce() {
        if (mClosed) {
            return;
        }
        ObjectNode body =
                JsonBodies.object()
                        .put("service", mSettings.service())
                        .put("address", mAddress)
                        .put("slots", mSettings.slots())
                        .put("connections", mSettings.connections())
                        .put("state", mLeaving ? "leaving" : "ready");
        int colon = mSettings.agent().lastIndexOf(':');
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(mSettings.agent().substring(0, colon))
                        .setPort(Integer.parseInt(mSettings.agent().substring(colon + 1)))
                        .setURI("/v1/announce")
                        .setTimeout(TIMEOUT_MILLIS)
                        .putHeader("Content-Type", "application/json");
        Buffer encoded = JsonBodies.encode(body);
        mClient.request(options)
                .compose((HttpClientRequest request) -> request.send(encoded))
                .onSuccess(response -> answered(response.statusCode()))
                .onFailure(cause -> failed(String.valueOf(cause.getMessage())));
    }

    private synchronized void answered(int status) {
        if (status >= SUCCESS_END) {
            failed("status " + status);
        } else if (mFailing) {
            mFailing = false;
            LOG.info("[standin] announced to {}", mSettings.agent());
        }
    }

    private synchronized void failed(String reason) {
        if (!mFailing) {
            mFailing = true;
            LOG.warn("[standin] not announced to {}: {}", mSettings.agent(), reason);
        }
    }
}
