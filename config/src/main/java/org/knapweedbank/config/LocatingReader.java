package org.knapweedbank.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON with comments into a tree and notes the line of each value. */
final class LocatingReader {
    /** Larger exponents would expand to very long integers in range checks. */
    private static final int MAX_SCALE = 30;

    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(ConfigurationLimits.MAX_DEPTH)
                                    .maxStringLength(ConfigurationLimits.MAX_STRING)
                                    .maxNameLength(ConfigurationLimits.MAX_STRING)
                                    // Checked in number(), where the path is known.
                                    .maxNumberLength(ConfigurationLimits.MAX_BYTES)
                                    .build())
                    .build();

    private final String mFile;
    private final Map<String, Integer> mLines = new HashMap<>();
    private final List<ConfigurationError> mErrors = new ArrayList<>();
    private final JsonNodeFactory mNodes = JsonNodeFactory.instance;
    private String mPath = JsonPaths.ROOT;
    private int mLine = 1;

    LocatingReader(String file) {
        mFile = file;
    }

    ParsedFile read(byte[] bytes) {
        ObjectNode tree = mNodes.objectNode();
        if (bytes.length > ConfigurationLimits.MAX_BYTES) {
            error(0, bytes.length + " bytes", "at most " + ConfigurationLimits.MAX_BYTES);
            return new ParsedFile(mFile, tree, mLines, mErrors);
        }
        Utf8Text text = Utf8Text.decode(bytes);
        if (text.malformedAt() >= 0) {
            String found =
                    "byte 0x%02x at offset %d, which is not valid UTF-8"
                            .formatted(bytes[text.malformedAt()], text.malformedAt());
            error(text.line(), found, "text in UTF-8");
            return new ParsedFile(mFile, tree, mLines, mErrors);
        }
        JsonNode root = parse(text.text());
        if (root instanceof ObjectNode object) {
            tree = object;
        } else if (mErrors.isEmpty()) {
            error(1, describe(root), "an object");
        }
        return new ParsedFile(mFile, tree, mLines, mErrors);
    }

    private JsonNode parse(String text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                error(1, "an empty file", "an object");
                return null;
            }
            JsonNode root = value(parser, JsonPaths.ROOT);
            mPath = JsonPaths.ROOT;
            if (parser.nextToken() != null) {
                error(line(parser), "text after the end of the document", "one object");
            }
            return root;
        } catch (StreamConstraintsException e) {
            error(line(e), firstLine(e), limits());
        } catch (JsonProcessingException e) {
            error(line(e), firstLine(e), "complete JSON, with // and /* */ comments");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return null;
    }

    private JsonNode value(JsonParser parser, String path) throws IOException {
        mPath = path;
        mLine = line(parser);
        mLines.putIfAbsent(path, mLine);
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser, path);
            case START_ARRAY -> array(parser, path);
            case VALUE_STRING -> mNodes.textNode(parser.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> number(parser, path);
            case VALUE_TRUE -> mNodes.booleanNode(true);
            case VALUE_FALSE -> mNodes.booleanNode(false);
            default -> mNodes.nullNode();
        };
    }

    private ObjectNode object(JsonParser parser, String path) throws IOException {
        ObjectNode object = mNodes.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            String child = JsonPaths.field(path, name);
            int line = line(parser);
            mPath = child;
            mLine = line;
            if (object.has(name)) {
                String accepted = "one value; the first is at line " + mLines.get(child);
                error(line, "the name a second time", accepted);
            }
            mLines.putIfAbsent(child, line);
            parser.nextToken();
            object.set(name, value(parser, child));
            mPath = path;
        }
        return object;
    }

    private ArrayNode array(JsonParser parser, String path) throws IOException {
        ArrayNode array = mNodes.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser, JsonPaths.item(path, array.size())));
            mPath = path;
        }
        return array;
    }

    private JsonNode number(JsonParser parser, String path) throws IOException {
        if (parser.getTextLength() > ConfigurationLimits.MAX_NUMBER_DIGITS) {
            error(line(parser), "a number of " + parser.getTextLength() + " characters", limits());
            return mNodes.numberNode(0);
        }
        BigDecimal value = parser.getDecimalValue();
        if (Math.abs(value.scale()) > MAX_SCALE) {
            error(line(parser), "number " + parser.getText(), "a number below 1e" + MAX_SCALE);
            return mNodes.numberNode(0);
        }
        if (value.signum() == 0 || value.stripTrailingZeros().scale() <= 0) {
            boolean fits = value.toBigInteger().bitLength() < Long.SIZE;
            return fits
                    ? mNodes.numberNode(value.longValueExact())
                    : mNodes.numberNode(value.toBigInteger());
        }
        return mNodes.numberNode(value);
    }

    private void error(int line, String found, String accepted) {
        mErrors.add(new ConfigurationError(mFile, line, mPath, found, accepted));
    }

    private static int line(JsonParser parser) {
        return parser.currentTokenLocation().getLineNr();
    }

    /** Exceptions about limits carry no place; the last value read is then the nearest one. */
    private int line(JsonProcessingException e) {
        return e.getLocation() == null ? mLine : e.getLocation().getLineNr();
    }

    private static String firstLine(JsonProcessingException e) {
        return e.getOriginalMessage().lines().findFirst().orElse("malformed JSON");
    }

    private static String limits() {
        return "nesting up to %d, strings up to %d characters, numbers up to %d digits"
                .formatted(
                        ConfigurationLimits.MAX_DEPTH,
                        ConfigurationLimits.MAX_STRING,
                        ConfigurationLimits.MAX_NUMBER_DIGITS);
    }

    /** Describes a value for an error message, shortened. */
    static String describe(JsonNode node) {
        if (node == null || node.isMissingNode()) {
            return "nothing";
        }
        if (node.isObject()) {
            return "an object";
        }
        if (node.isArray()) {
            return "an array";
        }
        String text = node.toString();
        return text.length() <= 80 ? text : text.substring(0, 77) + "...";
    }
}
