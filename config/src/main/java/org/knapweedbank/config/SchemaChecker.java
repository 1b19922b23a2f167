package org.knapweedbank.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonNodePath;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;

/** Checks JSON trees against the configuration schema and describes violations for operators. */
final class SchemaChecker {
    private static final String SCHEMA_RESOURCE = "configuration.schema.json";

    private final JsonNode mSchemaDocument;
    private final JsonSchema mSchema;

    private SchemaChecker(JsonNode document) {
        mSchemaDocument = document;
        SchemaValidatorsConfig config =
                SchemaValidatorsConfig.builder()
                        .pathType(PathType.JSON_POINTER)
                        .locale(Locale.ROOT)
                        .build();
        mSchema =
                JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                        .getSchema(document, config);
    }

    /** Creates a checker of configuration documents. */
    static SchemaChecker forConfiguration() {
        return new SchemaChecker(loadSchema());
    }

    /** Creates a checker of submitted jobs, which have the fields of a configured job and an id. */
    static SchemaChecker forSubmittedJob() {
        ObjectNode document = loadSchema();
        ObjectNode job = document.path("$defs").path("job").deepCopy();
        ((ObjectNode) job.get("properties")).putObject("id").put("$ref", "#/$defs/name");
        job.withArray("required").add("id");
        job.set("$schema", document.get("$schema"));
        job.set("$defs", document.get("$defs"));
        return new SchemaChecker(job);
    }

    /** A violation of the schema, without the file and line that it comes from. */
    record Violation(String path, String keyword, String found, String accepted) {}

    List<Violation> check(JsonNode tree) {
        List<Violation> violations = new ArrayList<>();
        for (ValidationMessage message : mSchema.validate(tree)) {
            violations.add(toViolation(message));
        }
        return violations;
    }

    private Violation toViolation(ValidationMessage message) {
        String path = toJsonPath(message.getInstanceLocation());
        JsonNode schema = findParentSchema(message.getSchemaLocation().getFragment());
        String keyword = message.getType();
        String property = message.getProperty();
        return switch (keyword) {
            case "additionalProperties" -> {
                String found = "unknown field \"" + property + "\"";
                yield new Violation(
                        JsonPaths.appendField(path, property),
                        keyword,
                        found,
                        joinFieldNames(schema));
            }
            case "required" -> {
                String accepted =
                        describeAccepted(
                                resolveReference(schema.path("properties").path(property)));
                yield new Violation(
                        JsonPaths.appendField(path, property), keyword, "nothing", accepted);
            }
            case "propertyNames" -> {
                String name = String.valueOf(message.getArguments()[0]);
                yield new Violation(
                        path, keyword, "a name that is refused: " + name, describeAcceptedNames());
            }
            default -> {
                JsonNode node = message.getInstanceNode();
                String found = LineTrackingReader.describe(node);
                if (node != null && node.isContainerNode()) {
                    found += " with " + node.size() + " entries";
                }
                yield new Violation(path, keyword, found, describeAccepted(schema));
            }
        };
    }

    private JsonNode findParentSchema(JsonNodePath fragment) {
        JsonNode node = mSchemaDocument;
        for (int i = 0; i < fragment.getNameCount() - 1; i++) {
            Object element = fragment.getElement(i);
            node = element instanceof Integer index ? node.path(index) : node.path("" + element);
        }
        return node;
    }

    private JsonNode resolveReference(JsonNode schema) {
        String reference = schema.path("$ref").asText();
        return reference.isEmpty() ? schema : mSchemaDocument.at(reference.substring(1));
    }

    private String describeAcceptedNames() {
        return describeAccepted(mSchemaDocument.at("/$defs/name"));
    }

    private static String joinFieldNames(JsonNode schema) {
        StringJoiner joiner = new StringJoiner(", ");
        schema.path("properties").fieldNames().forEachRemaining(joiner::add);
        return joiner.toString();
    }

    private String describeAccepted(JsonNode schema) {
        if (schema.has("enum")) {
            StringJoiner joiner = new StringJoiner(", ");
            schema.get("enum").forEach(value -> joiner.add(value.toString()));
            return joiner.toString();
        }
        return switch (schema.path("type").asText()) {
            case "integer" -> "an integer" + describeRange(schema);
            case "number" -> "a number" + describeRange(schema);
            case "boolean" -> "true, false";
            case "string" -> "a string" + describeStringConstraint(schema);
            case "array" ->
                    "an array" + describeEntryCounts(schema, "Items") + describeItems(schema);
            case "object" -> "an object" + describeEntryCounts(schema, "Properties");
            default -> "another value";
        };
    }

    private String describeItems(JsonNode schema) {
        String unique = schema.path("uniqueItems").asBoolean() ? ", each only once" : "";
        return " of: " + describeAccepted(resolveReference(schema.path("items"))) + unique;
    }

    private static String describeRange(JsonNode schema) {
        if (schema.has("exclusiveMinimum")) {
            return " above "
                    + schema.get("exclusiveMinimum").asText()
                    + " up to "
                    + schema.path("maximum").asText();
        }
        return " from "
                + schema.path("minimum").asText()
                + " to "
                + schema.path("maximum").asText();
    }

    private static String describeStringConstraint(JsonNode schema) {
        if (schema.has("pattern")) {
            return " that matches " + schema.get("pattern").asText();
        }
        return " of at most " + schema.path("maxLength").asText() + " characters";
    }

    private static String describeEntryCounts(JsonNode schema, String suffix) {
        String minimum = schema.path("min" + suffix).asText();
        String maximum = schema.path("max" + suffix).asText();
        String text = minimum.isEmpty() ? "" : " with at least " + minimum;
        if (!maximum.isEmpty()) {
            text += (text.isEmpty() ? " with at most " : " and at most ") + maximum;
        }
        return text.isEmpty() ? text : text + " entries";
    }

    private static String toJsonPath(JsonNodePath location) {
        String path = JsonPaths.ROOT;
        for (int i = 0; i < location.getNameCount(); i++) {
            Object element = location.getElement(i);
            path =
                    element instanceof Integer index
                            ? JsonPaths.appendIndex(path, index)
                            : JsonPaths.appendField(path, "" + element);
        }
        return path;
    }

    private static ObjectNode loadSchema() {
        try (InputStream in = SchemaChecker.class.getResourceAsStream(SCHEMA_RESOURCE)) {
            return (ObjectNode) new ObjectMapper().readTree(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
