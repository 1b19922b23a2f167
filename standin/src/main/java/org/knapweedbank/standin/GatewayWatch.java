package org.knapweedbank.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.nio.charset.StandardCharsets;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.StoreWatch;

/** Sends the reports of a watch as a stream of JSON messages, one for each revision. */
final class GatewayWatch implements RevisionListener {
    private static final int MAX_QUEUED_BYTES = 8 * 1024 * 1024;

    private final InMemoryStore mStore;
    private final Context mContext;
    private final HttpServerResponse mResponse;
    private final long mCreatedRevision;
    private ArrayNode mEvents;
    private long mRevision;
    private boolean mEnded;

    private GatewayWatch(InMemoryStore store, Context context, HttpServerResponse response) {
        mStore = store;
        mContext = context;
        mResponse = response;
        mCreatedRevision = store.revision();
    }

    static void open(
            InMemoryStore store,
            Context context,
            HttpServerResponse response,
            String prefix,
            long startRevision) {
        response.setChunked(true).putHeader("Content-Type", "application/json");
        response.setWriteQueueMaxSize(MAX_QUEUED_BYTES);
        GatewayWatch listener = new GatewayWatch(store, context, response);
        long from = startRevision == 0 ? listener.mCreatedRevision + 1 : startRevision;
        StoreWatch watch = store.watch(prefix, from, listener);
        response.closeHandler(ignored -> watch.close());
        response.exceptionHandler(ignored -> watch.close());
    }

    @Override
    public void put(KeyEntry entry) {
        event(entry.modRevision()).set("kv", GatewayAnswers.entry(entry));
    }

    @Override
    public void deleted(String key, long revision) {
        ObjectNode event = event(revision).put("type", "DELETE");
        event.putObject("kv")
                .put("key", key.getBytes(StandardCharsets.UTF_8))
                .put("mod_revision", String.valueOf(revision));
    }

    @Override
    public void revisionEnded() {
        ObjectNode result = GatewayAnswers.withHeader(mRevision);
        result.set("events", mEvents);
        mEvents = null;
        send(result);
    }

    @Override
    public void interrupted(String reason) {
        end();
    }

    @Override
    public void connected() {
        send(GatewayAnswers.withHeader(mCreatedRevision).put("created", true));
    }

    @Override
    public void compacted(long revision) {
        send(
                GatewayAnswers.withHeader(mStore.revision())
                        .put("canceled", true)
                        .put("compact_revision", String.valueOf(revision)));
        end();
    }

    private ObjectNode event(long revision) {
        if (mEvents == null) {
            mEvents = JsonBodies.object().putArray("events");
        }
        mRevision = revision;
        return mEvents.addObject();
    }

    private void send(ObjectNode result) {
        ObjectNode message = JsonBodies.object();
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

    private void end() {
        mContext.runOnContext(
                ignored -> {
                    if (!mEnded && !mResponse.closed()) {
                        mEnded = true;
                        mResponse.end();
                    }
                });
    }
}
