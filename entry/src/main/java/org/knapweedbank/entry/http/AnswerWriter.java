package org.knapweedbank.entry.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import org.knapweedbank.entry.upstream.AgentConnection;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.ResponseHead;

/** Writes the answer of one request to its caller. Used on the routing event loop only. */
final class AnswerWriter {
    /** Unsent bytes for a caller from which its agent's connection is paused. */
    private static final long PAUSE_BYTES = 1 << 20;

    /** Bodies without content length are sent with this length when known; -1 if not. */
    static final long UNKNOWN_LENGTH = -1;

    private final HttpServerResponse mResponse;
    private final String mCorrelationId;
    private long mUnsent;
    private AgentConnection mPaused;

    AnswerWriter(HttpServerResponse response, String correlationId) {
        mResponse = response;
        mCorrelationId = correlationId;
    }

    boolean closed() {
        return mResponse.closed() || mResponse.ended();
    }

    /**
     * Writes status and headers.
     *
     * @param head the upstream's status and headers
     * @param length length of the body if it is complete, or {@link #UNKNOWN_LENGTH}
     */
    void head(ResponseHead head, long length) {
        mResponse.setStatusCode(head.status());
        List<HeaderField> fields =
                CallerRequestParser.endToEnd(
                        head.headers().stream()
                                .map(f -> java.util.Map.entry(f.name(), f.value()))
                                .toList());
        for (HeaderField field : fields) {
            mResponse.headers().add(field.name(), field.value());
        }
        mResponse.headers().set(CallerRequestParser.CORRELATION_ID, mCorrelationId);
        boolean noBody = head.status() == 204 || head.status() == 304 || head.status() < 200;
        if (length != UNKNOWN_LENGTH && !noBody) {
            mResponse.headers().set("Content-Length", Long.toString(lengthOf(head, length)));
        } else if (!noBody) {
            mResponse.setChunked(true);
        }
    }

    /** An answer without a body may state the length that it would have had, as for HEAD. */
    private static long lengthOf(ResponseHead head, long length) {
        if (length > 0) {
            return length;
        }
        return head.headers().stream()
                .filter(field -> field.name().equalsIgnoreCase("Content-Length"))
                .map(HeaderField::value)
                .filter(value -> value.matches("\\d{1,18}"))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElse(0);
    }

    /**
     * Writes a part of the body. When the caller reads too slowly, the agent's connection is paused
     * until the caller has caught up.
     *
     * @param bytes the part
     * @param source connection that the part came from
     */
    void body(byte[] bytes, AgentConnection source) {
        if (closed() || bytes.length == 0) {
            return;
        }
        mUnsent += bytes.length;
        mResponse
                .write(Buffer.buffer(bytes))
                .onComplete(
                        ignored -> {
                            mUnsent -= bytes.length;
                            if (mUnsent < PAUSE_BYTES / 2) {
                                resume();
                            }
                        });
        if (mUnsent > PAUSE_BYTES && mPaused == null && source != null) {
            mPaused = source;
            source.pause();
        }
    }

    /** Tells whether the agent's connection waits for this caller. */
    boolean paused() {
        return mPaused != null;
    }

    void end() {
        resume();
        if (!closed()) {
            mResponse.end();
        }
    }

    /** Breaks the connection, so that the caller sees that the answer is incomplete. */
    void abort() {
        resume();
        if (!closed()) {
            mResponse.reset();
        }
    }

    void problem(Problem problem) {
        resume();
        write(mResponse, problem, mCorrelationId);
    }

    /**
     * Writes a problem document.
     *
     * @param response answer to write
     * @param problem the problem
     * @param correlationId identifier of the request
     */
    static void write(HttpServerResponse response, Problem problem, String correlationId) {
        if (response.closed() || response.ended()) {
            return;
        }
        response.setStatusCode(problem.status());
        response.headers().set("Content-Type", Problem.CONTENT_TYPE);
        response.headers().set(CallerRequestParser.CORRELATION_ID, correlationId);
        if (!problem.retryAfter().isZero()) {
            long seconds = Math.max(1, problem.retryAfter().toSeconds());
            response.headers().set("Retry-After", Long.toString(seconds));
        }
        response.end(problem.toJson(correlationId));
    }

    private void resume() {
        if (mPaused != null) {
            mPaused.resume();
            mPaused = null;
        }
    }
}
