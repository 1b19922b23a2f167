package org.knapweedbank.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** HTTP client for the records of the stand-ins and for the operator routes of the entries. */
final class StandinClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_RETRIES = 50;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();

    /** Returns the JSON answer of a stand-in. */
    JsonNode get(int port, String path) throws IOException, InterruptedException {
        return MAPPER.readTree(send(request(port, path).GET().build()).body());
    }

    /**
     * Calls an operator route. Retries a request that was refused as not applied, for example
     * because a partition has no owner, up to {@link #MAX_RETRIES} times.
     *
     * @param method HTTP method
     * @param port operator port of an entry
     * @param path path of the route
     * @param key key of the operator
     * @param body object to send as JSON, or null
     * @return the answer
     * @throws IOException when the final answer is not a success
     */
    JsonNode callOperatorRoute(String method, int port, String path, String key, Object body)
            throws IOException, InterruptedException {
        HttpRequest.BodyPublisher publisher =
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(MAPPER.writeValueAsString(body));
        HttpRequest request =
                request(port, path)
                        .header("Authorization", "Bearer " + key)
                        .header("Content-Type", "application/json")
                        .method(method, publisher)
                        .build();
        HttpResponse<String> response = send(request);
        for (int i = 0; i < MAX_RETRIES && isNotApplied(response); i++) {
            Thread.sleep(RETRY_DELAY_MILLIS);
            response = send(request);
        }
        if (response.statusCode() / 100 != 2) {
            throw new IOException(
                    method + " " + path + ": " + response.statusCode() + " " + response.body());
        }
        return MAPPER.readTree(response.body());
    }

    private static boolean isNotApplied(HttpResponse<String> response) {
        return response.statusCode() == 503 && response.body().contains("not-applied");
    }

    private HttpRequest.Builder request(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(TIMEOUT);
    }

    private HttpResponse<String> send(HttpRequest request)
            throws IOException, InterruptedException {
        return mClient.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
