package org.knapweedbank.store.etcd;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.parsetools.RecordParser;
import java.util.List;
import org.knapweedbank.store.WatchListener;

/**
 * Watch over a streaming response with one JSON message per line. It reconnects after a failure, at
 * the next endpoint, and continues after the last reported revision. All methods are called on one
 * event loop.
 */
final class EtcdWatch {
    private static final int STATUS_OK = 200;

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final EtcdSettings mSettings;
    private final List<EtcdEndpoint> mEndpoints;
    private final String mPrefix;
    private final WatchListener mListener;

    /** First revision that has not been reported, or 0 if not known yet. */
    private long mNextRevision;

    private int mEndpointIndex;

    /** Number of the current connection; callbacks of earlier connections are ignored. */
    private int mConnectionNumber;

    /** True from an interruption until the watch is connected again. */
    private boolean mInterrupted;

    private boolean mClosed;
    private HttpClientRequest mRequest;

    EtcdWatch(
            Vertx vertx,
            HttpClient client,
            EtcdSettings settings,
            List<EtcdEndpoint> endpoints,
            String prefix,
            long fromRevision,
            WatchListener listener) {
        mVertx = vertx;
        mClient = client;
        mSettings = settings;
        mEndpoints = endpoints;
        mPrefix = prefix;
        mNextRevision = fromRevision;
        mListener = listener;
    }

    void open() {
        if (mClosed) {
            return;
        }
        int connectionNumber = ++mConnectionNumber;
        EtcdRequest.openRequest(mClient, mEndpoints.get(mEndpointIndex), "/v3/watch")
                .onSuccess(request -> sendRequest(request, connectionNumber))
                .onFailure(
                        cause -> handleFailure(connectionNumber, EtcdRequest.failureReason(cause)));
    }

    void close() {
        mClosed = true;
        resetRequest();
    }

    private void sendRequest(HttpClientRequest request, int connectionNumber) {
        if (mClosed || connectionNumber != mConnectionNumber) {
            request.reset();
            return;
        }
        mRequest = request;
        request.response()
                .onSuccess(response -> handleResponse(response, connectionNumber))
                .onFailure(
                        cause -> handleFailure(connectionNumber, EtcdRequest.failureReason(cause)));
        request.exceptionHandler(
                cause -> handleFailure(connectionNumber, EtcdRequest.failureReason(cause)));
        request.end(Buffer.buffer(EtcdEncoder.encodeWatch(mPrefix, mNextRevision)));
    }

    private void handleResponse(HttpClientResponse response, int connectionNumber) {
        response.exceptionHandler(
                cause -> handleFailure(connectionNumber, EtcdRequest.failureReason(cause)));
        if (response.statusCode() != STATUS_OK) {
            handleFailure(
                    connectionNumber, "the service responded with status " + response.statusCode());
            return;
        }
        RecordParser lines = RecordParser.newDelimited("\n", response);
        lines.maxRecordSize(mSettings.maxResponseBytes());
        lines.exceptionHandler(
                cause -> handleFailure(connectionNumber, EtcdRequest.failureReason(cause)));
        lines.endHandler(ignored -> handleFailure(connectionNumber, "the service ended the watch"));
        lines.handler(line -> handleMessage(line, connectionNumber));
    }

    private void handleMessage(Buffer line, int connectionNumber) {
        if (mClosed || connectionNumber != mConnectionNumber || line.length() == 0) {
            return;
        }
        try {
            ObjectNode message = EtcdJson.parseObject(line.getBytes());
            if (EtcdJson.fieldOrNull(message, "error") != null) {
                handleFailure(
                        connectionNumber,
                        "the service reported an error: " + EtcdJson.fieldOrNull(message, "error"));
                return;
            }
            handleResult(EtcdJson.objectField(message, "result"), connectionNumber);
        } catch (MalformedResponseException e) {
            handleFailure(connectionNumber, "malformed message: " + e.getMessage());
        }
    }

    private void handleResult(ObjectNode result, int connectionNumber)
            throws MalformedResponseException {
        if (EtcdJson.booleanField(result, "created")) {
            if (mNextRevision == 0) {
                mNextRevision = EtcdDecoder.decodeRevision(result) + 1;
            }
            mInterrupted = false;
            mListener.connected();
        }
        for (JsonNode event : EtcdJson.arrayElements(result, "events")) {
            reportEvent(event);
        }
        if (EtcdJson.booleanField(result, "canceled")) {
            handleCancellation(EtcdJson.longField(result, "compact_revision"), connectionNumber);
        }
    }

    private void reportEvent(JsonNode event) throws MalformedResponseException {
        ObjectNode entry = EtcdJson.objectField(event, "kv");
        JsonNode type = EtcdJson.fieldOrNull(event, "type");
        String typeName = type == null ? "PUT" : type.asText();
        long revision = EtcdJson.longField(entry, "mod_revision");
        switch (typeName) {
            case "PUT" -> mListener.put(EtcdDecoder.decodeEntry(entry));
            case "DELETE" -> mListener.deleted(EtcdJson.textField(entry, "key"), revision);
            default -> throw new MalformedResponseException("unknown event type " + typeName);
        }
        mNextRevision = Math.max(mNextRevision, revision + 1);
    }

    private void handleCancellation(long compactRevision, int connectionNumber) {
        if (compactRevision > mNextRevision) {
            mNextRevision = compactRevision;
            mListener.compacted(compactRevision);
        }
        handleFailure(connectionNumber, "the service cancelled the watch");
    }

    private void handleFailure(int connectionNumber, String reason) {
        if (mClosed || connectionNumber != mConnectionNumber) {
            return;
        }
        mConnectionNumber++;
        resetRequest();
        mEndpointIndex = (mEndpointIndex + 1) % mEndpoints.size();
        if (!mInterrupted) {
            mInterrupted = true;
            mListener.interrupted(reason);
        }
        mVertx.setTimer(Math.max(1, mSettings.reconnectDelay().toMillis()), ignored -> open());
    }

    private void resetRequest() {
        if (mRequest != null) {
            mRequest.reset();
            mRequest = null;
        }
    }
}
