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

/** Settings file as a tree, with the line of each value and the errors found so far. */
final class SettingsDocument {
    private static final int MAX_DEPTH = 16;
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                    .build();

    private final String mFile;
    private final Map<String, Integer> mLines = new HashMap<>();
    private final List<SettingsError> mErrors = new ArrayList<>();
    private ObjectNode mRoot = JsonNodeFactory.instance.objectNode();

    private SettingsDocument(String file) {
        mFile = file;
    }

    /**
     * Parses a file.
     *
     * @param file name for errors
     * @param bytes content
     * @return the document; without values when it is not JSON with comments
     */
    static SettingsDocument parse(String file, byte[] bytes) {
        SettingsDocument document = new SettingsDocument(file);
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            document.parse(parser);
        } catch (JsonProcessingException e) {
            JsonLocation place = e.getLocation();
            int line = place == null ? 0 : place.getLineNr();
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

    void error(String path, String found, String accepted) {
        mErrors.add(new SettingsError(mFile, line(path), path, found, accepted));
    }

    /** Line of a value; for one that is missing, that of the section that should hold it. */
    private int line(String path) {
        String place = path;
        while (!mLines.containsKey(place) && place.contains(".")) {
            place = place.substring(0, place.lastIndexOf('.'));
        }
        return mLines.getOrDefault(place, 0);
    }

    private void parse(JsonParser parser) throws IOException {
        JsonToken first = parser.nextToken();
        JsonNode value = first == null ? null : value(parser, "");
        if (!(value instanceof ObjectNode object)) {
            mErrors.add(new SettingsError(mFile, 1, "", "not an object", "{ ... }"));
            return;
        }
        if (parser.nextToken() != null) {
            int line = parser.currentLocation().getLineNr();
            mErrors.add(
                    new SettingsError(mFile, line, "", "content after the object", "one object"));
        }
        mRoot = object;
    }

    private JsonNode value(JsonParser parser, String path) throws IOException {
        mLines.put(path, parser.currentTokenLocation().getLineNr());
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser, path);
            case START_ARRAY -> array(parser, path);
            case VALUE_STRING -> nodes.textNode(parser.getText());
            case VALUE_NUMBER_INT -> nodes.numberNode(parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT -> nodes.numberNode(parser.getDecimalValue());
            case VALUE_TRUE -> nodes.booleanNode(true);
            case VALUE_FALSE -> nodes.booleanNode(false);
            default -> nodes.nullNode();
        };
    }

    private ObjectNode object(JsonParser parser, String path) throws IOException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, value(parser, path.isEmpty() ? name : path + "." + name));
        }
        return object;
    }

    private ArrayNode array(JsonParser parser, String path) throws IOException {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser, path + "." + array.size()));
        }
        return array;
    }
}
