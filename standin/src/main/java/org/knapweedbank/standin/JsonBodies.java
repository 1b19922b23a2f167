package org.knapweedbank.standin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.util.Base64;

/** Decodes and encodes the JSON bodies of the requests and responses of simulated services. */
final class JsonBodies {
    private static final int MAX_NESTING_DEPTH = 64;
    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_NESTING_DEPTH)
                                                    .build())
                                    .build())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private JsonBodies() {}

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    static Buffer encode(Object value) {
        try {
            return Buffer.buffer(MAPPER.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("value cannot be encoded as JSON", e);
        }
    }

    /** Parses a body that must be a JSON object. */
    static ObjectNode parse(Buffer body) throws BadRequestException {
        try {
            JsonNode node = body == null ? null : MAPPER.readTree(body.getBytes());
            if (node instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            throw new BadRequestException("body is not JSON: " + e.getMessage());
        }
        throw new BadRequestException("body is not a JSON object");
    }

    /** Parses a body and maps it to a type. */
    static <T> T parse(Buffer body, Class<T> type) throws BadRequestException {
        try {
            return MAPPER.treeToValue(parse(body), type);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new BadRequestException("body is malformed: " + e.getMessage());
        }
    }

    /** Sends a response with a status and a value that is encoded as JSON. */
    static void respond(RoutingContext context, int status, Object value) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(encode(value));
    }

    /** Returns a field by its name in snake case or camel case, both of which etcd accepts. */
    static JsonNode field(JsonNode node, String snakeName, String camelName) {
        JsonNode value = node.get(snakeName);
        return value == null ? node.get(camelName) : value;
    }

    /** Decodes a 64-bit integer given as a number or as a string; a missing one is 0. */
    static long decodeLong(JsonNode value, String fieldName) throws BadRequestException {
        if (value == null) {
            return 0;
        }
        if (value.isTextual() && value.textValue().matches("-?\\d{1,18}")) {
            return Long.parseLong(value.textValue());
        }
        if (value.isIntegralNumber() && value.canConvertToLong()) {
            return value.longValue();
        }
        throw new BadRequestException(fieldName + " is not a 64-bit integer");
    }

    /** Decodes a base64 string; a missing one is an empty array. */
    static byte[] decodeBase64(JsonNode value, String fieldName) throws BadRequestException {
        if (value == null) {
            return new byte[0];
        }
        try {
            return Base64.getDecoder().decode(value.asText());
        } catch (IllegalArgumentException e) {
            throw new BadRequestException(fieldName + " is not base64");
        }
    }
}
