import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executors;

/** JSON over HTTP, for clients and servers. */
final class Http {
    static final ObjectMapper JSON = new ObjectMapper();

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private Http() {}

    /** An answer; the status is 0 if there was none. */
    record Answer(int status, String body) {}

    /** Returns a client with channels of its own, which it keeps open. */
    static HttpClient client() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(1))
                .build();
    }

    /** Sends a request and waits for the answer until the timeout, then closes the channel. */
    static Answer call(
            HttpClient client, String method, String url, String host, String body, int timeoutMs) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(url))
                        .timeout(Duration.ofMillis(timeoutMs))
                        .header("Content-Type", "application/json")
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!host.isEmpty()) {
            request.header("Host", host);
        }
        try {
            HttpResponse<String> answer =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(answer.statusCode(), answer.body());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static HttpServer serve(String host, int port, HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 200);
        server.setExecutor(Executors.newCachedThreadPool(Thread.ofPlatform().daemon().factory()));
        server.createContext("/", handler);
        server.start();
        return server;
    }

    static JsonNode body(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        return bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
