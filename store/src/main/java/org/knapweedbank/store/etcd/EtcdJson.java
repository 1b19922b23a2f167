package org.knapweedbank.store.etcd;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

/**
 * Strict access to the gateway's JSON: keys and values are base64, 64-bit numbers are strings, and
 * fields with default values are left out. Field names may be in snake case or camel case.
 */
final class EtcdJson {
    private static final int MAX_DEPTH = 32;
    private static final int MAX_STRING = 4 * 1024 * 1024;
    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_DEPTH)
                                                    .maxStringLength(MAX_STRING)
                                                    .build())
                                    .build())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private EtcdJson() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static byte[] bytes(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("request cannot be encoded", e);
        }
    }

    static ObjectNode parse(byte[] body) throws MalformedAnswerException {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            throw new MalformedAnswerException("answer is not JSON: " + firstLine(e));
        }
        throw new MalformedAnswerException("answer is not a JSON object");
    }

    private static String firstLine(IOException e) {
        return e instanceof JsonProcessingException json
                ? json.getOriginalMessage()
                : String.valueOf(e.getMessage());
    }

    /** A field of the given name, or null when it is absent or null. */
    static JsonNode field(JsonNode node, String snakeName) {
        JsonNode value = node.get(snakeName);
        if (value == null) {
            value = node.get(camelName(snakeName));
        }
        return value == null || value.isNull() ? null : value;
    }

    static ObjectNode requireObject(JsonNode node, String name) throws MalformedAnswerException {
        JsonNode value = field(node, name);
        if (value instanceof ObjectNode object) {
            return object;
        }
        throw new MalformedAnswerException(name + " is not an object");
    }

    static Iterable<JsonNode> elements(JsonNode node, String name) throws MalformedAnswerException {
        JsonNode value = field(node, name);
        if (value == null) {
            return MAPPER.createArrayNode();
        }
        if (!value.isArray()) {
            throw new MalformedAnswerException(name + " is not an array");
        }
        return value;
    }

    static boolean flag(JsonNode node, String name) throws MalformedAnswerException {
        JsonNode value = field(node, name);
        if (value == null) {
            return false;
        }
        if (!value.isBoolean()) {
            throw new MalformedAnswerException(name + " is not a boolean");
        }
        return value.booleanValue();
    }

    static long number(JsonNode node, String name) throws MalformedAnswerException {
        JsonNode value = field(node, name);
        if (value == null) {
            return 0;
        }
        try {
            if (value.isTextual()) {
                return Long.parseLong(value.textValue());
            }
            if (value.isIntegralNumber() && value.canConvertToLong()) {
                return value.longValue();
            }
        } catch (NumberFormatException e) {
            // Reported below together with the other types.
        }
        throw new MalformedAnswerException(name + " is not a 64-bit integer");
    }

    static byte[] binary(JsonNode node, String name) throws MalformedAnswerException {
        JsonNode value = field(node, name);
        if (value == null) {
            return new byte[0];
        }
        if (!value.isTextual()) {
            throw new MalformedAnswerException(name + " is not a string");
        }
        try {
            return Base64.getDecoder().decode(value.textValue());
        } catch (IllegalArgumentException e) {
            throw new MalformedAnswerException(name + " is not base64");
        }
    }

    static String key(JsonNode node, String name) throws MalformedAnswerException {
        byte[] bytes = binary(node, name);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            throw new MalformedAnswerException(name + " is not UTF-8");
        }
    }

    private static String camelName(String snakeName) {
        StringBuilder camel = new StringBuilder();
        for (String word : snakeName.split("_")) {
            camel.append(
                    camel.isEmpty() || word.isEmpty()
                            ? word
                            : Character.toUpperCase(word.charAt(0)) + word.substring(1));
        }
        return camel.toString();
    }
}
