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
 * A watch over a streaming answer, one JSON message a line. It reconnects after a failure and
 * continues after the last revision reported. All calls come from one event loop.
 */
final class EtcdWatch {
    private static final int OK = 200;

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final EtcdSettings mSettings;
    private final List<EtcdEndpoint> mEndpoints;
    private final String mPrefix;
    private final WatchListener mListener;
    private long mNextRevision;
    private int mEndpoint;
    private int mConnection;
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
        int connection = ++mConnection;
        EtcdRequest.open(mClient, mEndpoints.get(mEndpoint), "/v3/watch")
                .onSuccess(request -> send(request, connection))
                .onFailure(cause -> failed(connection, EtcdRequest.reason(cause)));
    }

    void close() {
        mClosed = true;
        reset();
    }

    private void send(HttpClientRequest request, int connection) {
        if (mClosed || connection != mConnection) {
            request.reset();
            return;
        }
        mRequest = request;
        request.response()
                .onSuccess(response -> responded(response, connection))
                .onFailure(cause -> failed(connection, EtcdRequest.reason(cause)));
        request.exceptionHandler(cause -> failed(connection, EtcdRequest.reason(cause)));
        request.end(Buffer.buffer(EtcdEncoder.watch(mPrefix, mNextRevision)));
    }

    private void responded(HttpClientResponse response, int connection) {
        response.exceptionHandler(cause -> failed(connection, EtcdRequest.reason(cause)));
        if (response.statusCode() != OK) {
            failed(connection, "status " + response.statusCode());
            return;
        }
        RecordParser lines = RecordParser.newDelimited("\n", response);
        lines.maxRecordSize(mSettings.maxAnswerBytes());
        lines.exceptionHandler(cause -> failed(connection, EtcdRequest.reason(cause)));
        lines.endHandler(ignored -> failed(connection, "the service ended the watch"));
        lines.handler(line -> received(line, connection));
    }

    private void received(Buffer line, int connection) {
        if (mClosed || connection != mConnection || line.length() == 0) {
            return;
        }
        try {
            ObjectNode message = EtcdJson.parse(line.getBytes());
            if (EtcdJson.field(message, "error") != null) {
                failed(connection, "error: " + EtcdJson.field(message, "error"));
                return;
            }
            report(EtcdJson.requireObject(message, "result"), connection);
        } catch (MalformedAnswerException e) {
            failed(connection, "malformed message: " + e.getMessage());
        }
    }

    private void report(ObjectNode result, int connection) throws MalformedAnswerException {
        if (EtcdJson.flag(result, "created")) {
            if (mNextRevision == 0) {
                mNextRevision = EtcdDecoder.revision(result) + 1;
            }
            mInterrupted = false;
            mListener.connected();
        }
        for (JsonNode event : EtcdJson.elements(result, "events")) {
            report(event);
        }
        if (EtcdJson.flag(result, "canceled")) {
            cancelled(EtcdJson.number(result, "compact_revision"), connection);
        }
    }

    private void report(JsonNode event) throws MalformedAnswerException {
        ObjectNode entry = EtcdJson.requireObject(event, "kv");
        JsonNode type = EtcdJson.field(event, "type");
        String name = type == null ? "PUT" : type.asText();
        long revision = EtcdJson.number(entry, "mod_revision");
        switch (name) {
            case "PUT" -> mListener.put(EtcdDecoder.entry(entry));
            case "DELETE" -> mListener.deleted(EtcdJson.key(entry, "key"), revision);
            default -> throw new MalformedAnswerException("unknown type of event: " + name);
        }
        mNextRevision = Math.max(mNextRevision, revision + 1);
    }

    private void cancelled(long compactRevision, int connection) {
        if (compactRevision > mNextRevision) {
            mNextRevision = compactRevision;
            mListener.compacted(compactRevision);
        }
        failed(connection, "the service cancelled the watch");
    }

    private void failed(int connection, String reason) {
        if (mClosed || connection != mConnection) {
            return;
        }
        mConnection++;
        reset();
        mEndpoint = (mEndpoint + 1) % mEndpoints.size();
        if (!mInterrupted) {
            mInterrupted = true;
            mListener.interrupted(reason);
        }
        mVertx.setTimer(Math.max(1, mSettings.reconnectDelay().toMillis()), ignored -> open());
    }

    private void reset() {
        if (mRequest != null) {
            mRequest.reset();
            mRequest = null;
        }
    }
}
