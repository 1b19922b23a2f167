package org.knapweedbank.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Set;
import java.util.TreeSet;

/**
 * Encodes and decodes generations as JSON for the store and for messages between daemons. The JSON
 * object has the fields {@code generation}, {@code removed} (names of the data centres out of
 * service) and {@code document}. Unknown fields, as newer versions may write them, are ignored.
 */
public final class ConfigurationCodec {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ConfigurationCodec() {}

    /**
     * Encodes a configuration as JSON, for example for {@code ConfigPush}.
     *
     * @param configuration the configuration
     * @return the JSON text
     */
    public static String encode(SiteConfiguration configuration) {
        Set<String> removed = new TreeSet<>();
        configuration.dataCentresOutOfService().forEach(id -> removed.add(id.value()));
        ObjectNode document = toDocument(configuration);
        long generation = configuration.generation();
        return toText(encode(new StoredGeneration(generation, removed, document)));
    }

    /**
     * Decodes a configuration from JSON.
     *
     * @param json result of {@link #encode(SiteConfiguration)}
     * @return the configuration
     * @throws ConfigurationFormatException if the text is malformed
     */
    public static SiteConfiguration decode(String json) {
        return decodeGeneration(json.getBytes(StandardCharsets.UTF_8)).configuration();
    }

    static byte[] encode(StoredGeneration generation) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("generation", generation.generation());
        generation.removed().forEach(node.putArray("removed")::add);
        node.set("document", generation.document());
        return encodeJson(node);
    }

    static StoredGeneration decodeGeneration(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            long number = node == null ? 0 : node.path("generation").asLong();
            if (number < 1 || !(node.get("document") instanceof ObjectNode document)) {
                throw new ConfigurationFormatException(
                        "the generation number or the document is missing", null);
            }
            Set<String> removed = new TreeSet<>();
            node.path("removed").forEach(name -> removed.add(name.asText()));
            return new StoredGeneration(number, removed, document);
        } catch (IOException e) {
            throw new ConfigurationFormatException("the generation is not valid JSON", e);
        }
    }

    static byte[] encodeJson(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new ConfigurationFormatException("the value cannot be written as JSON", e);
        }
    }

    static <T> T decodeJson(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new ConfigurationFormatException("malformed " + type.getSimpleName(), e);
        }
    }

    /** Returns the SHA-256 digest of a document in hexadecimal. */
    static String digest(ObjectNode document) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(encodeJson(document));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String toText(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static ObjectNode toDocument(SiteConfiguration configuration) {
        ObjectNode document = MAPPER.createObjectNode();
        document.put("site", configuration.site());
        document.put("partitionsPerRegion", configuration.partitionsPerRegion());
        ObjectNode dataCentres = document.putObject("dataCentres");
        configuration
                .dataCentres()
                .forEach(dc -> dataCentres.putObject(dc.id().value()).put("region", dc.region()));
        ObjectNode services = document.putObject("services");
        configuration.services().forEach(s -> services.set(s.name(), toJson(s)));
        ObjectNode teams = document.putObject("teams");
        configuration.teams().forEach(team -> teams.set(team.name(), toJson(team)));
        ObjectNode jobs = document.putObject("jobs");
        configuration
                .jobs()
                .forEach(job -> jobs.set(job.id().value(), JobDocuments.toJsonWithoutId(job)));
        return document;
    }

    private static ObjectNode toJson(ServiceSettings service) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("objectiveMillis", service.objectiveMillis());
        node.put("defaultDeadlineMillis", service.defaultDeadlineMillis());
        node.put("maxConcurrent", service.maxConcurrent());
        service.idempotentMethods().stream()
                .sorted()
                .forEach(node.putArray("idempotentMethods")::add);
        node.put("requireIdempotencyKey", service.requireIdempotencyKey());
        return node;
    }

    private static ObjectNode toJson(TeamSettings team) {
        ObjectNode node = MAPPER.createObjectNode();
        node.set("deserved", JobDocuments.toJson(team.deserved()));
        node.put("weight", team.weight());
        node.put("priority", team.priority());
        return node;
    }
}
