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
 * Strict reader and writer of the gateway's JSON, in which keys and values are in base64, 64-bit
 * integers are strings, and fields with default values are omitted. Field names may be in snake
 * case or camel case.
 */
final class EtcdJson {
    private static final int MAX_NESTING_DEPTH = 32;
    private static final int MAX_STRING_LENGTH = 4 * 1024 * 1024;
    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_NESTING_DEPTH)
                                                    .maxStringLength(MAX_STRING_LENGTH)
                                                    .build())
                                    .build())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private EtcdJson() {}

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    static byte[] encode(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not encode a request as JSON", e);
        }
    }

    static ObjectNode parseObject(byte[] body) throws MalformedResponseException {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            throw new MalformedResponseException(
                    "response is not valid JSON: " + parseErrorMessage(e));
        }
        throw new MalformedResponseException("response is not a JSON object");
    }

    private static String parseErrorMessage(IOException e) {
        return e instanceof JsonProcessingException json
                ? json.getOriginalMessage()
                : String.valueOf(e.getMessage());
    }

    /** Returns a field, or null if it is absent or a JSON null. */
    static JsonNode fieldOrNull(JsonNode node, String snakeName) {
        JsonNode value = node.get(snakeName);
        if (value == null) {
            value = node.get(toCamelCase(snakeName));
        }
        return value == null || value.isNull() ? null : value;
    }

    static ObjectNode objectField(JsonNode node, String name) throws MalformedResponseException {
        JsonNode value = fieldOrNull(node, name);
        if (value instanceof ObjectNode object) {
            return object;
        }
        throw new MalformedResponseException(name + " is not an object");
    }

    /** Returns the elements of an array field, or none if the field is absent. */
    static Iterable<JsonNode> arrayElements(JsonNode node, String name)
            throws MalformedResponseException {
        JsonNode value = fieldOrNull(node, name);
        if (value == null) {
            return MAPPER.createArrayNode();
        }
        if (!value.isArray()) {
            throw new MalformedResponseException(name + " is not an array");
        }
        return value;
    }

    /** Returns a boolean field, or false if it is absent. */
    static boolean booleanField(JsonNode node, String name) throws MalformedResponseException {
        JsonNode value = fieldOrNull(node, name);
        if (value == null) {
            return false;
        }
        if (!value.isBoolean()) {
            throw new MalformedResponseException(name + " is not a boolean");
        }
        return value.booleanValue();
    }

    /** Returns an integer field given as a number or a string, or 0 if it is absent. */
    static long longField(JsonNode node, String name) throws MalformedResponseException {
        JsonNode value = fieldOrNull(node, name);
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
            // Reported below, like fields of another type.
        }
        throw new MalformedResponseException(name + " is not a 64-bit integer");
    }

    /** Returns the decoded bytes of a base64 field, or none if the field is absent. */
    static byte[] binaryField(JsonNode node, String name) throws MalformedResponseException {
        JsonNode value = fieldOrNull(node, name);
        if (value == null) {
            return new byte[0];
        }
        if (!value.isTextual()) {
            throw new MalformedResponseException(name + " is not a string");
        }
        try {
            return Base64.getDecoder().decode(value.textValue());
        } catch (IllegalArgumentException e) {
            throw new MalformedResponseException(name + " is not valid base64");
        }
    }

    /** Returns the text of a base64 field that holds UTF-8. */
    static String textField(JsonNode node, String name) throws MalformedResponseException {
        byte[] bytes = binaryField(node, name);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            throw new MalformedResponseException(name + " is not valid UTF-8");
        }
    }

    private static String toCamelCase(String snakeName) {
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
