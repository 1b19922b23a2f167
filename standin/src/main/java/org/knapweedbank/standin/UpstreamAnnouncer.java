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

/** Announces an upstream to its local agent at regular intervals. */
final class UpstreamAnnouncer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(UpstreamAnnouncer.class);
    private static final int REQUEST_TIMEOUT_MILLIS = 1000;
    private static final int FIRST_NON_SUCCESS_STATUS = 300;

    private final Vertx mVertx;
    private final UpstreamSettings mSettings;
    private final String mAddress;
    private final HttpClient mClient;
    private boolean mLeaving;
    private boolean mFailing;
    private boolean mClosed;
    private long mTimerId = -1;

    UpstreamAnnouncer(Vertx vertx, UpstreamSettings settings, String address) {
        mVertx = vertx;
        mSettings = settings;
        mAddress = address;
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions().setConnectTimeout(REQUEST_TIMEOUT_MILLIS));
    }

    /** Announces the upstream at once and then periodically, if the settings name an agent. */
    synchronized void start() {
        if (mSettings.agent().isEmpty()) {
            return;
        }
        mTimerId =
                mVertx.setPeriodic(mSettings.announceInterval().toMillis(), ignored -> announce());
        announce();
    }

    /** Announces at once, and from now on, that the upstream is leaving. */
    synchronized void announceLeaving() {
        mLeaving = true;
        if (!mSettings.agent().isEmpty()) {
            announce();
        }
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        mVertx.cancelTimer(mTimerId);
        mClient.close();
    }

    private synchronized void announce() {
        if (mClosed) {
            return;
        }
        ObjectNode body =
                JsonBodies.newObject()
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
                        .setTimeout(REQUEST_TIMEOUT_MILLIS)
                        .putHeader("Content-Type", "application/json");
        Buffer encoded = JsonBodies.encode(body);
        mClient.request(options)
                .compose((HttpClientRequest request) -> request.send(encoded))
                .onSuccess(response -> handleResponse(response.statusCode()))
                .onFailure(cause -> handleFailure(String.valueOf(cause.getMessage())));
    }

    private synchronized void handleResponse(int status) {
        if (status >= FIRST_NON_SUCCESS_STATUS) {
            handleFailure("status " + status);
        } else if (mFailing) {
            mFailing = false;
            LOG.info("[standin] announcements to agent {} succeed again", mSettings.agent());
        }
    }

    private synchronized void handleFailure(String reason) {
        if (!mFailing) {
            mFailing = true;
            LOG.warn("[standin] announcement to agent {} failed: {}", mSettings.agent(), reason);
        }
    }
}
