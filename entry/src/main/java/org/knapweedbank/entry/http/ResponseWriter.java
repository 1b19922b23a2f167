package org.knapweedbank.entry.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import org.knapweedbank.entry.upstream.AgentConnection;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.ResponseHead;

/** Writes the HTTP response of one request to its caller. Used on the routing event loop only. */
final class ResponseWriter {
    /** Number of unsent bytes at which reading from the agent's connection is paused. */
    private static final long MAX_UNSENT_BYTES = 1 << 20;

    /** Length of a body that is not known in advance; such a body is sent in chunked encoding. */
    static final long UNKNOWN_LENGTH = -1;

    private final HttpServerResponse mResponse;
    private final String mCorrelationId;
    private long mUnsentBytes;
    private AgentConnection mPausedConnection;

    ResponseWriter(HttpServerResponse response, String correlationId) {
        mResponse = response;
        mCorrelationId = correlationId;
    }

    boolean isClosed() {
        return mResponse.closed() || mResponse.ended();
    }

    /**
     * Sets the status and headers.
     *
     * @param head status and headers of the upstream's response
     * @param length length of the body in bytes, or {@link #UNKNOWN_LENGTH}
     */
    void writeHead(ResponseHead head, long length) {
        mResponse.setStatusCode(head.status());
        List<HeaderField> fields =
                CallerRequestParser.selectForwardedHeaders(
                        head.headers().stream()
                                .map(field -> java.util.Map.entry(field.name(), field.value()))
                                .toList());
        for (HeaderField field : fields) {
            mResponse.headers().add(field.name(), field.value());
        }
        mResponse.headers().set(CallerRequestParser.CORRELATION_ID_HEADER, mCorrelationId);
        boolean noBody = head.status() == 204 || head.status() == 304 || head.status() < 200;
        if (length != UNKNOWN_LENGTH && !noBody) {
            mResponse.headers().set("Content-Length", Long.toString(contentLength(head, length)));
        } else if (!noBody) {
            mResponse.setChunked(true);
        }
    }

    /**
     * Returns the value for the Content-Length header. For a response without a body, that is the
     * length stated by the upstream, as for a HEAD request.
     */
    private static long contentLength(ResponseHead head, long length) {
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
     * Writes a part of the body. If the caller reads too slowly, reading from the agent's
     * connection is paused until less than half of {@link #MAX_UNSENT_BYTES} is unsent.
     *
     * @param bytes the part
     * @param connection agent connection that delivered the part, or null if there is none to pause
     */
    void writeBody(byte[] bytes, AgentConnection connection) {
        if (isClosed() || bytes.length == 0) {
            return;
        }
        mUnsentBytes += bytes.length;
        mResponse
                .write(Buffer.buffer(bytes))
                .onComplete(
                        ignored -> {
                            mUnsentBytes -= bytes.length;
                            if (mUnsentBytes < MAX_UNSENT_BYTES / 2) {
                                resumeAgent();
                            }
                        });
        if (mUnsentBytes > MAX_UNSENT_BYTES && mPausedConnection == null && connection != null) {
            mPausedConnection = connection;
            connection.pause();
        }
    }

    /** Tells whether the agent's connection is paused because of this caller. */
    boolean isAgentPaused() {
        return mPausedConnection != null;
    }

    /** Completes the response. */
    void end() {
        resumeAgent();
        if (!isClosed()) {
            mResponse.end();
        }
    }

    /** Resets the connection or stream, so that the caller detects the incomplete response. */
    void abort() {
        resumeAgent();
        if (!isClosed()) {
            mResponse.reset();
        }
    }

    /**
     * Writes a problem document as the whole response.
     *
     * @param problem the problem
     */
    void writeProblem(Problem problem) {
        resumeAgent();
        writeProblem(mResponse, problem, mCorrelationId);
    }

    /**
     * Writes a problem document, unless the response has been completed or closed.
     *
     * @param response response to write
     * @param problem the problem
     * @param correlationId correlation id of the request
     */
    static void writeProblem(HttpServerResponse response, Problem problem, String correlationId) {
        if (response.closed() || response.ended()) {
            return;
        }
        response.setStatusCode(problem.status());
        response.headers().set("Content-Type", Problem.CONTENT_TYPE);
        response.headers().set(CallerRequestParser.CORRELATION_ID_HEADER, correlationId);
        if (!problem.retryAfter().isZero()) {
            long seconds = Math.max(1, problem.retryAfter().toSeconds());
            response.headers().set("Retry-After", Long.toString(seconds));
        }
        response.end(problem.toJson(correlationId));
    }

    private void resumeAgent() {
        if (mPausedConnection != null) {
            mPausedConnection.resume();
            mPausedConnection = null;
        }
    }
}
