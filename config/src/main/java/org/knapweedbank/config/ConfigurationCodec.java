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
 * JSON form of generations in the store and between daemons: an object with {@code generation},
 * {@code removed} (names of data centres) and {@code document}. Fields of newer versions are passed
 * over.
 */
public final class ConfigurationCodec {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ConfigurationCodec() {}

    /**
     * Encodes a configuration, for example for {@code ConfigPush}.
     *
     * @param configuration the configuration
     * @return JSON text
     */
    public static String encode(SiteConfiguration configuration) {
        Set<String> removed = new TreeSet<>();
        configuration.removed().forEach(id -> removed.add(id.value()));
        ObjectNode document = document(configuration);
        long generation = configuration.generation();
        return text(encode(new StoredGeneration(generation, removed, document)));
    }

    /**
     * Decodes a configuration.
     *
     * @param json result of {@link #encode(SiteConfiguration)}
     * @return the configuration
     * @throws ConfigurationFormatException when the text is malformed
     */
    public static SiteConfiguration decode(String json) {
        return decodeGeneration(json.getBytes(StandardCharsets.UTF_8)).configuration();
    }

    static byte[] encode(StoredGeneration generation) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("generation", generation.generation());
        generation.removed().forEach(node.putArray("removed")::add);
        node.set("document", generation.document());
        return bytes(node);
    }

    static StoredGeneration decodeGeneration(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            long number = node == null ? 0 : node.path("generation").asLong();
            if (number < 1 || !(node.get("document") instanceof ObjectNode document)) {
                throw new ConfigurationFormatException("no generation or no document", null);
            }
            Set<String> removed = new TreeSet<>();
            node.path("removed").forEach(name -> removed.add(name.asText()));
            return new StoredGeneration(number, removed, document);
        } catch (IOException e) {
            throw new ConfigurationFormatException("the generation is not JSON", e);
        }
    }

    static byte[] bytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new ConfigurationFormatException("cannot be written as JSON", e);
        }
    }

    static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new ConfigurationFormatException("malformed " + type.getSimpleName(), e);
        }
    }

    /** SHA-256 of a document in hexadecimal. */
    static String digest(ObjectNode document) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(bytes(document));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static ObjectNode document(SiteConfiguration configuration) {
        ObjectNode document = MAPPER.createObjectNode();
        document.put("site", configuration.site());
        document.put("partitionsPerRegion", configuration.partitionsPerRegion());
        ObjectNode dataCentres = document.putObject("dataCentres");
        configuration
                .dataCentres()
                .forEach(dc -> dataCentres.putObject(dc.id().value()).put("region", dc.region()));
        ObjectNode services = document.putObject("services");
        configuration.services().forEach(s -> services.set(s.name(), service(s)));
        ObjectNode teams = document.putObject("teams");
        configuration.teams().forEach(team -> teams.set(team.name(), team(team)));
        ObjectNode jobs = document.putObject("jobs");
        configuration.jobs().forEach(job -> jobs.set(job.id().value(), JobDocuments.fields(job)));
        return document;
    }

    private static ObjectNode service(ServiceSettings service) {
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

    private static ObjectNode team(TeamSettings team) {
        ObjectNode node = MAPPER.createObjectNode();
        node.set("deserved", JobDocuments.resources(team.deserved()));
        node.put("weight", team.weight());
        node.put("priority", team.priority());
        return node;
    }
}
