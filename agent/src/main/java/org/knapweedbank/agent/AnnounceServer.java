package org.knapweedbank.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashMap;
import java.util.Map;

/** HTTP server on the loopback interface on which upstreams announce themselves. */
final class AnnounceServer {
    static final String PATH = "/v1/announce";

    /** Maximum size of a request body in bytes; an announcement takes about 150. */
    static final int MAX_BODY_BYTES = 4096;

    private static final String LOOPBACK = "127.0.0.1";
    private static final int IDLE_TIMEOUT_SECONDS = 30;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final AnnouncementTable mTable;
    private final AnnouncementParser mParser = new AnnouncementParser();
    private final HttpServer mServer;

    AnnounceServer(Vertx vertx, AnnouncementTable table) {
        mTable = table;
        mServer =
                vertx.createHttpServer(
                        new HttpServerOptions()
                                .setHandle100ContinueAutomatically(false)
                                .setMaxHeaderSize(4096)
                                .setIdleTimeout(IDLE_TIMEOUT_SECONDS));
        mServer.requestHandler(this::handle);
    }

    Uni<Integer> listen(int port) {
        return Uni.createFrom()
                .completionStage(() -> mServer.listen(port, LOOPBACK).toCompletionStage())
                .map(HttpServer::actualPort);
    }

    Uni<Void> close() {
        return Uni.createFrom().completionStage(() -> mServer.close().toCompletionStage());
    }

    private void handle(HttpServerRequest request) {
        if (!PATH.equals(request.path())) {
            sendProblem(request, 404, "Not found", "only " + PATH + " is served here");
        } else if (request.method() != HttpMethod.POST) {
            request.response().putHeader("Allow", "POST");
            sendProblem(request, 405, "Method not allowed", "announcements are sent with POST");
        } else {
            new BodyReader(request).read();
        }
    }

    private void announce(HttpServerRequest request, byte[] body) {
        try {
            mTable.announce(mParser.parse(body));
            request.response().setStatusCode(204).end();
        } catch (AnnouncementException e) {
            sendProblem(request, 400, "Announcement not accepted", e.getMessage());
        }
    }

    private static void sendProblem(
            HttpServerRequest request, int status, String title, String detail) {
        Map<String, Object> problem = new LinkedHashMap<>();
        problem.put("title", title);
        problem.put("status", status);
        problem.put("detail", detail);
        try {
            request.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", "application/problem+json")
                    .end(Buffer.buffer(MAPPER.writeValueAsBytes(problem)));
        } catch (JsonProcessingException e) {
            request.response().setStatusCode(status).end();
        }
    }

    /** Reads a request body up to the size limit. */
    private final class BodyReader {
        private final HttpServerRequest mRequest;
        private final Buffer mBytes = Buffer.buffer();
        private boolean mTooLarge;

        private BodyReader(HttpServerRequest request) {
            mRequest = request;
        }

        private void read() {
            mRequest.handler(this::add);
            mRequest.endHandler(
                    ignored -> {
                        if (!mTooLarge) {
                            announce(mRequest, mBytes.getBytes());
                        }
                    });
        }

        private void add(Buffer bytes) {
            if (mTooLarge) {
                return;
            }
            if (mBytes.length() + bytes.length() > MAX_BODY_BYTES) {
                mTooLarge = true;
                mRequest.response().putHeader("Connection", "close");
                sendProblem(
                        mRequest, 413, "Body too large", "limit is " + MAX_BODY_BYTES + " bytes");
            } else {
                mBytes.appendBuffer(bytes);
            }
        }
    }
}
