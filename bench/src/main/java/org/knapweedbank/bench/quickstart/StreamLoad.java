package org.knapweedbank.bench.quickstart;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps event streams open through the entries. A stream is lost when an event is missing or
 * doubled, or when it stays silent. A caller whose connection ends reconnects with its last event
 * id, as browsers do.
 */
final class StreamLoad {
    private static final long SILENCE_LIMIT_MILLIS = 10_000;
    private static final long RECONNECT_MILLIS = 50;

    private final Vertx mVertx;
    private final RequestLoad mLoad;
    private final List<Watch> mWatches = new ArrayList<>();
    private volatile boolean mStopped;

    StreamLoad(Vertx vertx, RequestLoad load) {
        mVertx = vertx;
        mLoad = load;
    }

    void start(int count) {
        for (int i = 0; i < count; i++) {
            Watch watch = new Watch();
            mWatches.add(watch);
            mVertx.runOnContext(ignored -> watch.connect());
        }
    }

    void stop() {
        mStopped = true;
    }

    /** Streams that lost or doubled an event, or were silent for too long at some time. */
    long lost() {
        return mWatches.stream().filter(Watch::isLost).count();
    }

    long events() {
        return mWatches.stream().mapToLong(watch -> watch.mLastId).sum();
    }

    /** One stream of a caller. */
    private final class Watch {
        private volatile long mLastId;
        private volatile long mLastMillis = System.currentTimeMillis();
        private volatile boolean mLost;

        private boolean isLost() {
            return mLost || mLastId == 0;
        }

        private void connect() {
            int port = mLoad.entries().next();
            if (port == 0) {
                reconnect();
                return;
            }
            mLoad.client()
                    .request(HttpMethod.GET, port, "127.0.0.1", "/s/demo/events")
                    .compose(
                            request -> {
                                request.putHeader("Accept", "text/event-stream");
                                if (mLastId > 0) {
                                    request.putHeader("Last-Event-ID", Long.toString(mLastId));
                                }
                                return request.send();
                            })
                    .onSuccess(this::read)
                    .onFailure(failure -> reconnect());
        }

        private void read(HttpClientResponse response) {
            RecordParser lines = RecordParser.newDelimited("\n", this::line);
            response.handler(lines);
            response.exceptionHandler(failure -> reconnect());
            response.endHandler(ignored -> reconnect());
        }

        private void line(Buffer line) {
            String text = line.toString();
            if (!text.startsWith("id: ")) {
                return;
            }
            long id = Long.parseLong(text.substring("id: ".length()).trim());
            long now = System.currentTimeMillis();
            if (id != mLastId + 1 || now - mLastMillis > SILENCE_LIMIT_MILLIS) {
                mLost = true;
            }
            mLastId = id;
            mLastMillis = now;
        }

        private void reconnect() {
            if (!mStopped) {
                mVertx.setTimer(RECONNECT_MILLIS, ignored -> connect());
            }
        }
    }
}
