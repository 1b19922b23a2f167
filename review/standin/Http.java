package standin;

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
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP with JSON bodies, as client and as server. */
public final class Http {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    private Http() {}

    /** Answer of a call; status 0 if there was none. */
    public record Answer(int status, JsonNode body) {}

    static HttpServer serve(String host, int port, HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 100);
        server.setExecutor(Executors.newCachedThreadPool(Thread.ofPlatform().daemon().factory()));
        server.createContext("/", handler);
        server.start();
        return server;
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static JsonNode body(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        return bytes.length == 0 ? object() : MAPPER.readTree(bytes);
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            query.put(
                    part.substring(0, equals),
                    URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = MAPPER.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** Sends a request and waits for its answer. */
    public static Answer call(
            String method, String address, String path, String host, String body, long timeoutMillis) {
        try {
            HttpRequest.Builder request =
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(Duration.ofMillis(timeoutMillis))
                            .method(method, HttpRequest.BodyPublishers.ofString(body));
            if (!host.isEmpty()) {
                request.header("Host", host);
            }
            if (!body.isEmpty()) {
                request.header("Content-Type", "application/json");
            }
            HttpResponse<String> response =
                    CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
            JsonNode json =
                    response.body().isEmpty() ? object() : MAPPER.readTree(response.body());
            return new Answer(response.statusCode(), json);
        } catch (IOException e) {
            return new Answer(0, object());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, object());
        }
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
