package org.knapweedbank.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** HTTP with JSON bodies, as client and as server. */
final class HttpJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int BACKLOG = 200;

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private HttpJson() {}

    /**
     * Answer to a request.
     *
     * @param status status code, 0 if there was no answer
     * @param body body of the answer
     */
    record Answer(int status, JsonNode body) {
        boolean isSuccess() {
            return status / 100 == 2;
        }
    }

    static HttpServer serve(String host, int port, HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), BACKLOG);
        server.setExecutor(Executors.newCachedThreadPool(Thread.ofPlatform().daemon().factory()));
        server.createContext("/", handler);
        server.start();
        return server;
    }

    /** Returns a client that keeps its connections open until the server closes them. */
    static HttpClient client() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static JsonNode body(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        return bytes.length == 0 ? object() : MAPPER.readTree(bytes);
    }

    static Map<String, String> query(HttpExchange exchange) {
        String query = exchange.getRequestURI().getRawQuery();
        return Arrays.stream(query == null ? new String[0] : query.split("&"))
                .map(parameter -> parameter.split("=", 2))
                .collect(
                        Collectors.toMap(
                                pair -> pair[0],
                                pair -> URLDecoder.decode(pair[1], StandardCharsets.UTF_8)));
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = MAPPER.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** Sends a request and waits for its answer. */
    static Answer call(
            HttpClient client,
            String method,
            String url,
            String host,
            String body,
            Duration timeout)
            throws InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(url))
                        .timeout(timeout)
                        .header("Content-Type", "application/json")
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!host.isEmpty()) {
            request.header("Host", host);
        }
        try {
            HttpResponse<String> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            String text = response.body();
            return new Answer(
                    response.statusCode(), text.isEmpty() ? object() : MAPPER.readTree(text));
        } catch (IOException e) {
            return new Answer(0, object());
        }
    }
}
