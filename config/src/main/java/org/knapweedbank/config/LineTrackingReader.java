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

/** Reads JSON with comments into a tree and records the line of each value. */
final class LineTrackingReader {
    /** Largest scale of a number; larger exponents expand to very long integers in range checks. */
    private static final int MAX_SCALE = 30;

    private static final JsonFactory JSON_FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(ConfigurationLimits.MAX_NESTING_DEPTH)
                                    .maxStringLength(ConfigurationLimits.MAX_STRING_CHARS)
                                    .maxNameLength(ConfigurationLimits.MAX_STRING_CHARS)
                                    // Checked in readNumber(), where the path of the number is
                                    // known.
                                    .maxNumberLength(ConfigurationLimits.MAX_DOCUMENT_BYTES)
                                    .build())
                    .build();

    private final String mFile;
    private final Map<String, Integer> mLines = new HashMap<>();
    private final List<ConfigurationError> mErrors = new ArrayList<>();
    private final JsonNodeFactory mNodeFactory = JsonNodeFactory.instance;
    private String mCurrentPath = JsonPaths.ROOT;
    private int mCurrentLine = 1;

    LineTrackingReader(String file) {
        mFile = file;
    }

    ParsedFile read(byte[] bytes) {
        ObjectNode tree = mNodeFactory.objectNode();
        if (bytes.length > ConfigurationLimits.MAX_DOCUMENT_BYTES) {
            addError(
                    0,
                    bytes.length + " bytes",
                    "at most " + ConfigurationLimits.MAX_DOCUMENT_BYTES);
            return new ParsedFile(mFile, tree, mLines, mErrors);
        }
        Utf8Text text = Utf8Text.decode(bytes);
        if (text.malformedOffset() >= 0) {
            String found =
                    "byte 0x%02x at offset %d, which is not valid UTF-8"
                            .formatted(bytes[text.malformedOffset()], text.malformedOffset());
            addError(text.line(), found, "text in UTF-8");
            return new ParsedFile(mFile, tree, mLines, mErrors);
        }
        JsonNode root = parse(text.text());
        if (root instanceof ObjectNode object) {
            tree = object;
        } else if (mErrors.isEmpty()) {
            addError(1, describe(root), "an object");
        }
        return new ParsedFile(mFile, tree, mLines, mErrors);
    }

    private JsonNode parse(String text) {
        try (JsonParser parser = JSON_FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                addError(1, "an empty file", "an object");
                return null;
            }
            JsonNode root = readValue(parser, JsonPaths.ROOT);
            mCurrentPath = JsonPaths.ROOT;
            if (parser.nextToken() != null) {
                addError(lineOf(parser), "text after the end of the document", "one object");
            }
            return root;
        } catch (StreamConstraintsException e) {
            addError(lineOf(e), firstMessageLine(e), describeLimits());
        } catch (JsonProcessingException e) {
            addError(lineOf(e), firstMessageLine(e), "complete JSON, with // and /* */ comments");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return null;
    }

    private JsonNode readValue(JsonParser parser, String path) throws IOException {
        mCurrentPath = path;
        mCurrentLine = lineOf(parser);
        mLines.putIfAbsent(path, mCurrentLine);
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, path);
            case START_ARRAY -> readArray(parser, path);
            case VALUE_STRING -> mNodeFactory.textNode(parser.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> readNumber(parser, path);
            case VALUE_TRUE -> mNodeFactory.booleanNode(true);
            case VALUE_FALSE -> mNodeFactory.booleanNode(false);
            default -> mNodeFactory.nullNode();
        };
    }

    private ObjectNode readObject(JsonParser parser, String path) throws IOException {
        ObjectNode object = mNodeFactory.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            String childPath = JsonPaths.appendField(path, name);
            int line = lineOf(parser);
            mCurrentPath = childPath;
            mCurrentLine = line;
            if (object.has(name)) {
                String accepted = "one value; the first is at line " + mLines.get(childPath);
                addError(line, "the name a second time", accepted);
            }
            mLines.putIfAbsent(childPath, line);
            parser.nextToken();
            object.set(name, readValue(parser, childPath));
            mCurrentPath = path;
        }
        return object;
    }

    private ArrayNode readArray(JsonParser parser, String path) throws IOException {
        ArrayNode array = mNodeFactory.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(parser, JsonPaths.appendIndex(path, array.size())));
            mCurrentPath = path;
        }
        return array;
    }

    private JsonNode readNumber(JsonParser parser, String path) throws IOException {
        if (parser.getTextLength() > ConfigurationLimits.MAX_NUMBER_DIGITS) {
            addError(
                    lineOf(parser),
                    "a number of " + parser.getTextLength() + " characters",
                    describeLimits());
            return mNodeFactory.numberNode(0);
        }
        BigDecimal value = parser.getDecimalValue();
        if (Math.abs(value.scale()) > MAX_SCALE) {
            addError(lineOf(parser), "number " + parser.getText(), "a number below 1e" + MAX_SCALE);
            return mNodeFactory.numberNode(0);
        }
        if (value.signum() == 0 || value.stripTrailingZeros().scale() <= 0) {
            boolean fitsLong = value.toBigInteger().bitLength() < Long.SIZE;
            return fitsLong
                    ? mNodeFactory.numberNode(value.longValueExact())
                    : mNodeFactory.numberNode(value.toBigInteger());
        }
        return mNodeFactory.numberNode(value);
    }

    private void addError(int line, String found, String accepted) {
        mErrors.add(new ConfigurationError(mFile, line, mCurrentPath, found, accepted));
    }

    private static int lineOf(JsonParser parser) {
        return parser.currentTokenLocation().getLineNr();
    }

    /**
     * Returns the line of the error, or that of the last value read if the error has no location.
     */
    private int lineOf(JsonProcessingException e) {
        return e.getLocation() == null ? mCurrentLine : e.getLocation().getLineNr();
    }

    private static String firstMessageLine(JsonProcessingException e) {
        return e.getOriginalMessage().lines().findFirst().orElse("malformed JSON");
    }

    private static String describeLimits() {
        return "nesting up to %d, strings up to %d characters, numbers up to %d digits"
                .formatted(
                        ConfigurationLimits.MAX_NESTING_DEPTH,
                        ConfigurationLimits.MAX_STRING_CHARS,
                        ConfigurationLimits.MAX_NUMBER_DIGITS);
    }

    /** Describes a value for an error message, truncating long text. */
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
