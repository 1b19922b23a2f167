package org.knapweedbank.bench.quickstart;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps event streams open through the entries. A stream counts as lost when an event is missing or
 * duplicate, or arrives too long after the previous one. A caller whose connection ends reconnects
 * with the identifier of its last event, as browsers do.
 */
final class StreamLoad {
    /** Longest permitted time between two events of a stream. */
    private static final long MAX_SILENCE_MILLIS = 10_000;

    private static final long RECONNECT_DELAY_MILLIS = 50;

    private final Vertx mVertx;
    private final RequestLoad mRequestLoad;
    private final List<EventStream> mStreams = new ArrayList<>();
    private volatile boolean mStopped;

    StreamLoad(Vertx vertx, RequestLoad requestLoad) {
        mVertx = vertx;
        mRequestLoad = requestLoad;
    }

    /** Opens the given number of streams. */
    void start(int count) {
        for (int i = 0; i < count; i++) {
            EventStream stream = new EventStream();
            mStreams.add(stream);
            mVertx.runOnContext(ignored -> stream.connect());
        }
    }

    /** Stops the reconnection of streams. */
    void stop() {
        mStopped = true;
    }

    /**
     * Returns the number of streams that missed or repeated an event, exceeded the maximum silence
     * or received no event.
     */
    long lostStreams() {
        return mStreams.stream().filter(EventStream::isLost).count();
    }

    /**
     * Returns the sum of the last event identifiers of all streams, which is the number of events
     * unless a stream is lost.
     */
    long receivedEvents() {
        return mStreams.stream().mapToLong(stream -> stream.mLastEventId).sum();
    }

    /** One event stream of a caller, over any number of connections. */
    private final class EventStream {
        private volatile long mLastEventId;
        private volatile long mLastEventMillis = System.currentTimeMillis();
        private volatile boolean mLost;

        private boolean isLost() {
            return mLost || mLastEventId == 0;
        }

        private void connect() {
            int port = mRequestLoad.entries().nextHealthyPort();
            if (port == 0) {
                reconnect();
                return;
            }
            mRequestLoad
                    .client()
                    .request(HttpMethod.GET, port, "127.0.0.1", "/s/demo/events")
                    .compose(
                            request -> {
                                request.putHeader("Accept", "text/event-stream");
                                if (mLastEventId > 0) {
                                    request.putHeader("Last-Event-ID", Long.toString(mLastEventId));
                                }
                                return request.send();
                            })
                    .onSuccess(this::readEvents)
                    .onFailure(failure -> reconnect());
        }

        private void readEvents(HttpClientResponse response) {
            RecordParser lines = RecordParser.newDelimited("\n", this::handleLine);
            response.handler(lines);
            response.exceptionHandler(failure -> reconnect());
            response.endHandler(ignored -> reconnect());
        }

        /** Checks the identifier of an event, which must follow the last one without a gap. */
        private void handleLine(Buffer line) {
            String text = line.toString();
            if (!text.startsWith("id: ")) {
                return;
            }
            long id = Long.parseLong(text.substring("id: ".length()).trim());
            long now = System.currentTimeMillis();
            if (id != mLastEventId + 1 || now - mLastEventMillis > MAX_SILENCE_MILLIS) {
                mLost = true;
            }
            mLastEventId = id;
            mLastEventMillis = now;
        }

        private void reconnect() {
            if (!mStopped) {
                mVertx.setTimer(RECONNECT_DELAY_MILLIS, ignored -> connect());
            }
        }
    }
}
