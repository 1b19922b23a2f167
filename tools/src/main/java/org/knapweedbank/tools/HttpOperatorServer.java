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
 * Sends requests to operator listeners over HTTP. The next server is tried only if connecting to
 * the previous one failed. A call that has sent a request and receives no response does not send it
 * to another server, because its outcome is unknown.
 */
final class HttpOperatorServer implements OperatorServer {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

    private final ObjectMapper mObjectMapper = new ObjectMapper();
    private final List<ServerAddress> mServers;
    private final String mBearerKey;
    private final Duration mTimeout;

    /** Created on the first request, because some commands need no server. */
    private Vertx mVertx;

    private HttpClient mClient;

    HttpOperatorServer(List<ServerAddress> servers, String bearerKey, Duration timeout) {
        mServers = List.copyOf(servers);
        mBearerKey = bearerKey;
        mTimeout = timeout;
    }

    @Override
    public ServerResponse call(String method, String path, byte[] body) {
        openHttpClient();
        StringBuilder reasons = new StringBuilder();
        for (ServerAddress server : mServers) {
            HttpClientRequest request;
            try {
                request = await(mClient.request(buildRequestOptions(server, method, path)));
            } catch (IOException e) {
                reasons.append(reasons.isEmpty() ? "" : "; ");
                reasons.append(server).append(": ").append(e.getMessage());
                continue;
            }
            return send(server, request, body);
        }
        return new ServerResponse.NotSent(reasons.toString());
    }

    private void openHttpClient() {
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

    private RequestOptions buildRequestOptions(ServerAddress server, String method, String path) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.valueOf(method))
                        .setHost(server.host())
                        .setPort(server.port())
                        .setURI(path)
                        .putHeader("Accept", "application/json, application/problem+json")
                        .putHeader("Content-Type", "application/json");
        if (!mBearerKey.isEmpty()) {
            options.putHeader("Authorization", "Bearer " + mBearerKey);
        }
        return options;
    }

    private ServerResponse send(ServerAddress server, HttpClientRequest request, byte[] body) {
        // Register the handler before the request is sent: the body is discarded if no handler is
        // registered when it arrives.
        Future<ServerResponse> serverResponse =
                request.response()
                        .compose(
                                response ->
                                        response.body()
                                                .map(
                                                        bytes ->
                                                                parseResponse(
                                                                        response.statusCode(),
                                                                        bytes)));
        try {
            request.end(Buffer.buffer(body));
            return await(serverResponse);
        } catch (IOException e) {
            request.reset();
            return new ServerResponse.Lost(server + ": " + e.getMessage());
        }
    }

    private ServerResponse parseResponse(int status, Buffer bytes) {
        if (bytes.length() > MAX_RESPONSE_BYTES) {
            return new ServerResponse.Lost(
                    "the size of the response in bytes exceeds " + MAX_RESPONSE_BYTES);
        }
        try {
            JsonNode body = mObjectMapper.readTree(bytes.getBytes());
            boolean empty = body == null || body.isMissingNode();
            return new ServerResponse.Received(
                    status, empty ? JsonNodeFactory.instance.objectNode() : body);
        } catch (IOException e) {
            return new ServerResponse.Lost(
                    "status " + status + " with a body that is not valid JSON");
        }
    }

    private <T> T await(Future<T> future) throws IOException {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(mTimeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IOException(describeCause(e.getCause()), e);
        } catch (TimeoutException e) {
            throw new IOException("no response within " + mTimeout.toSeconds() + " s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static String describeCause(Throwable cause) {
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
