package org.knapweedbank.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.nio.charset.StandardCharsets;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.StoreWatch;

/** Sends the events of a watch as a stream of JSON messages, one message for each revision. */
final class GatewayWatch implements RevisionListener {
    private static final int MAX_QUEUED_BYTES = 8 * 1024 * 1024;

    private final InMemoryStore mStore;
    private final Context mContext;
    private final HttpServerResponse mResponse;
    private final long mCreatedRevision;
    private ArrayNode mEvents;
    private long mEventsRevision;
    private boolean mEnded;

    private GatewayWatch(InMemoryStore store, Context context, HttpServerResponse response) {
        mStore = store;
        mContext = context;
        mResponse = response;
        mCreatedRevision = store.revision();
    }

    /**
     * Opens a watch on the store and streams its events as a chunked response. The watch is closed
     * when the response is closed.
     *
     * @param prefix prefix of the watched keys
     * @param startRevision first revision to report, or 0 for the revision after the current one
     */
    static void open(
            InMemoryStore store,
            Context context,
            HttpServerResponse response,
            String prefix,
            long startRevision) {
        response.setChunked(true).putHeader("Content-Type", "application/json");
        response.setWriteQueueMaxSize(MAX_QUEUED_BYTES);
        GatewayWatch gatewayWatch = new GatewayWatch(store, context, response);
        long from = startRevision == 0 ? gatewayWatch.mCreatedRevision + 1 : startRevision;
        StoreWatch watch = store.watch(prefix, from, gatewayWatch);
        response.closeHandler(ignored -> watch.close());
        response.exceptionHandler(ignored -> watch.close());
    }

    @Override
    public void put(KeyEntry entry) {
        addEvent(entry.modRevision()).set("kv", GatewayResponses.entry(entry));
    }

    @Override
    public void deleted(String key, long revision) {
        ObjectNode event = addEvent(revision).put("type", "DELETE");
        event.putObject("kv")
                .put("key", key.getBytes(StandardCharsets.UTF_8))
                .put("mod_revision", String.valueOf(revision));
    }

    @Override
    public void revisionCompleted() {
        ObjectNode result = GatewayResponses.withHeader(mEventsRevision);
        result.set("events", mEvents);
        mEvents = null;
        send(result);
    }

    @Override
    public void interrupted(String reason) {
        endResponse();
    }

    @Override
    public void connected() {
        send(GatewayResponses.withHeader(mCreatedRevision).put("created", true));
    }

    @Override
    public void compacted(long revision) {
        send(
                GatewayResponses.withHeader(mStore.revision())
                        .put("canceled", true)
                        .put("compact_revision", String.valueOf(revision)));
        endResponse();
    }

    /** Adds an event to the message of the current revision. */
    private ObjectNode addEvent(long revision) {
        if (mEvents == null) {
            mEvents = JsonBodies.newObject().putArray("events");
        }
        mEventsRevision = revision;
        return mEvents.addObject();
    }

    /** Writes a message, or resets the stream if the client reads too slowly. */
    private void send(ObjectNode result) {
        ObjectNode message = JsonBodies.newObject();
        message.set("result", result);
        Buffer line = JsonBodies.encode(message).appendString("\n");
        mContext.runOnContext(
                ignored -> {
                    if (mEnded || mResponse.closed()) {
                        return;
                    }
                    if (mResponse.writeQueueFull()) {
                        mResponse.reset();
                    } else {
                        mResponse.write(line);
                    }
                });
    }

    private void endResponse() {
        mContext.runOnContext(
                ignored -> {
                    if (!mEnded && !mResponse.closed()) {
                        mEnded = true;
                        mResponse.end();
                    }
                });
    }
}
