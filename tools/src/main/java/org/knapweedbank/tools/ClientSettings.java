package org.knapweedbank.tools;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Settings of the command-line client.
 *
 * @param servers operator listeners, tried in this order
 * @param keyFile file that contains the bearer key, or empty
 * @param timeout timeout of a connection and of a response
 */
record ClientSettings(List<ServerAddress> servers, Optional<Path> keyFile, Duration timeout) {
    static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);
    private static final Set<String> KNOWN_FIELDS = Set.of("servers", "keyFile", "timeoutSeconds");
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonParser.Feature.ALLOW_COMMENTS)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    static final ClientSettings EMPTY =
            new ClientSettings(List.of(), Optional.empty(), DEFAULT_TIMEOUT);

    /** Reads a settings file, which is JSON with comments. */
    static ClientSettings read(Path file) throws UsageException {
        JsonNode node;
        try {
            node = MAPPER.readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new UsageException("settings file " + file + ": " + e.getMessage());
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!KNOWN_FIELDS.contains(name)) {
                throw new UsageException(
                        "settings file %s: unknown field %s; accepted: servers, keyFile,"
                                        .formatted(file, name)
                                + " timeoutSeconds");
            }
        }
        List<ServerAddress> servers = new ArrayList<>();
        for (JsonNode server : node.path("servers")) {
            servers.add(ServerAddress.parse(server.asText()));
        }
        Optional<Path> keyFile =
                Optional.ofNullable(node.path("keyFile").textValue())
                        .map(name -> file.resolveSibling(name));
        Duration timeout =
                node.has("timeoutSeconds")
                        ? parseTimeout(node.path("timeoutSeconds").asText())
                        : DEFAULT_TIMEOUT;
        return new ClientSettings(servers, keyFile, timeout);
    }

    static Duration parseTimeout(String text) throws UsageException {
        try {
            int seconds = Integer.parseInt(text);
            if (seconds >= 1 && seconds <= 600) {
                return Duration.ofSeconds(seconds);
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new UsageException("timeout: found " + text + "; accepted: 1 to 600 seconds");
    }

    /** Returns the servers; throws an exception if there are none. */
    List<ServerAddress> requireServers() throws UsageException {
        if (servers.isEmpty()) {
            throw new UsageException(
                    "no server; accepted: --server HOST:PORT or a settings file with servers");
        }
        return servers;
    }

    /**
     * Reads the bearer key from the key file; returns an empty string if no file is configured. In
     * a line {@code NAME:KEY}, as in the key file of the server, the key is the part after the
     * colon.
     */
    String readKey() throws UsageException {
        if (keyFile.isEmpty()) {
            return "";
        }
        try {
            List<String> lines =
                    Files.readAllLines(keyFile.get()).stream()
                            .map(String::strip)
                            .filter(line -> !line.isEmpty() && !line.startsWith("#"))
                            .toList();
            if (lines.size() == 1) {
                return lines.getFirst().substring(lines.getFirst().indexOf(':') + 1).strip();
            }
            throw new UsageException(
                    "key file %s has %d lines; accepted: one line with KEY or NAME:KEY"
                            .formatted(keyFile.get(), lines.size()));
        } catch (IOException e) {
            throw new UsageException("key file cannot be read: " + e.getMessage());
        }
    }
}
