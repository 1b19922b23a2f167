package org.knapweedbank.daemon;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Settings file as a JSON tree, with the line of each value and the errors found so far. */
final class SettingsDocument {
    private static final int MAX_NESTING_DEPTH = 16;
    private static final JsonFactory JSON_FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAX_NESTING_DEPTH)
                                    .build())
                    .build();

    private final String mFile;
    private final Map<String, Integer> mLines = new HashMap<>();
    private final List<SettingsError> mErrors = new ArrayList<>();
    private ObjectNode mRoot = JsonNodeFactory.instance.objectNode();

    private SettingsDocument(String file) {
        mFile = file;
    }

    /**
     * Parses a settings file.
     *
     * @param file name of the file for error messages
     * @param bytes content of the file
     * @return the document; its root is empty if the content is not a JSON object
     */
    static SettingsDocument parse(String file, byte[] bytes) {
        SettingsDocument document = new SettingsDocument(file);
        try (JsonParser parser = JSON_FACTORY.createParser(bytes)) {
            document.readRoot(parser);
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            int line = location == null ? 0 : location.getLineNr();
            document.mErrors.add(
                    new SettingsError(
                            file, line, "", e.getOriginalMessage(), "JSON with comments"));
        } catch (IOException e) {
            document.mErrors.add(new SettingsError(file, 0, "", e.getMessage(), "a readable file"));
        }
        return document;
    }

    ObjectNode root() {
        return mRoot;
    }

    List<SettingsError> errors() {
        return mErrors;
    }

    void addError(String path, String found, String accepted) {
        mErrors.add(new SettingsError(mFile, lineOf(path), path, found, accepted));
    }

    /** Returns the line of a value, or that of the enclosing section if the value is missing. */
    private int lineOf(String path) {
        String nearestPath = path;
        while (!mLines.containsKey(nearestPath) && nearestPath.contains(".")) {
            nearestPath = nearestPath.substring(0, nearestPath.lastIndexOf('.'));
        }
        return mLines.getOrDefault(nearestPath, 0);
    }

    private void readRoot(JsonParser parser) throws IOException {
        JsonToken first = parser.nextToken();
        JsonNode value = first == null ? null : readValue(parser, "");
        if (!(value instanceof ObjectNode object)) {
            mErrors.add(new SettingsError(mFile, 1, "", "the root is not an object", "{ ... }"));
            return;
        }
        if (parser.nextToken() != null) {
            int line = parser.currentLocation().getLineNr();
            mErrors.add(
                    new SettingsError(
                            mFile,
                            line,
                            "",
                            "unexpected content after the object",
                            "a single object"));
        }
        mRoot = object;
    }

    private JsonNode readValue(JsonParser parser, String path) throws IOException {
        mLines.put(path, parser.currentTokenLocation().getLineNr());
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, path);
            case START_ARRAY -> readArray(parser, path);
            case VALUE_STRING -> nodes.textNode(parser.getText());
            case VALUE_NUMBER_INT -> nodes.numberNode(parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT -> nodes.numberNode(parser.getDecimalValue());
            case VALUE_TRUE -> nodes.booleanNode(true);
            case VALUE_FALSE -> nodes.booleanNode(false);
            default -> nodes.nullNode();
        };
    }

    private ObjectNode readObject(JsonParser parser, String path) throws IOException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, readValue(parser, path.isEmpty() ? name : path + "." + name));
        }
        return object;
    }

    private ArrayNode readArray(JsonParser parser, String path) throws IOException {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(parser, path + "." + array.size()));
        }
        return array;
    }
}
