package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Operator listeners over HTTP. A request goes to the next server only while none has been sent;
 * once it has been sent, a missing answer leaves its outcome open.
 */
final class HttpOperatorServer implements OperatorServer {
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final List<ServerAddress> mServers;
    private final String mKey;
    private final Duration mTimeout;

    /** Created with the first request, as some commands need no server. */
    private Vertx mVertx;

    private HttpClient mClient;

    HttpOperatorServer(List<ServerAddress> servers, String key, Duration timeout) {
        mServers = List.copyOf(servers);
        mKey = key;
        mTimeout = timeout;
    }

    @Override
    public ServerAnswer call(String method, String path, byte[] body) {
        open();
        StringBuilder reasons = new StringBuilder();
        for (ServerAddress server : mServers) {
            HttpClientRequest request;
            try {
                request = await(mClient.request(options(server, method, path)));
            } catch (IOException e) {
                reasons.append(reasons.isEmpty() ? "" : "; ");
                reasons.append(server).append(": ").append(e.getMessage());
                continue;
            }
            return send(server, request, body);
        }
        return new ServerAnswer.NotSent(reasons.toString());
    }

    private void open() {
        if (mVertx != null) {
            return;
        }
        mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        mClient =
                mVertx.createHttpClient(
                        new HttpClientOptions()
                                .setConnectTimeout((int) mTimeout.toMillis())
                                .setKeepAlive(false));
    }

    private RequestOptions options(ServerAddress server, String method, String path) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.valueOf(method))
                        .setHost(server.host())
                        .setPort(server.port())
                        .setURI(path)
                        .putHeader("Accept", "application/json, application/problem+json")
                        .putHeader("Content-Type", "application/json");
        if (!mKey.isEmpty()) {
            options.putHeader("Authorization", "Bearer " + mKey);
        }
        return options;
    }

    private ServerAnswer send(ServerAddress server, HttpClientRequest request, byte[] body) {
        // Registered before the request ends: the body is lost if nobody waits for it when it
        // arrives.
        Future<ServerAnswer> answer =
                request.response()
                        .compose(
                                response ->
                                        response.body()
                                                .map(bytes -> read(response.statusCode(), bytes)));
        try {
            request.end(Buffer.buffer(body));
            return await(answer);
        } catch (IOException e) {
            request.reset();
            return new ServerAnswer.Lost(server + ": " + e.getMessage());
        }
    }

    private ServerAnswer read(int status, Buffer bytes) {
        if (bytes.length() > MAX_ANSWER_BYTES) {
            return new ServerAnswer.Lost("the answer is larger than " + MAX_ANSWER_BYTES);
        }
        try {
            JsonNode body = mMapper.readTree(bytes.getBytes());
            boolean empty = body == null || body.isMissingNode();
            return new ServerAnswer.Answered(
                    status, empty ? JsonNodeFactory.instance.objectNode() : body);
        } catch (IOException e) {
            return new ServerAnswer.Lost("status " + status + " with a body that is not JSON");
        }
    }

    private <T> T await(Future<T> future) throws IOException {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(mTimeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IOException(message(e.getCause()), e);
        } catch (TimeoutException e) {
            throw new IOException("no answer within " + mTimeout.toSeconds() + " s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static String message(Throwable cause) {
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    @Override
    public void close() {
        if (mVertx == null) {
            return;
        }
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
