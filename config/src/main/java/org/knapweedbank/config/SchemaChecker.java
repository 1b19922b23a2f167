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

/** Checks trees against the committed schema and words the errors for operators. */
final class SchemaChecker {
    private static final String RESOURCE = "configuration.schema.json";

    private final JsonNode mDocument;
    private final JsonSchema mSchema;

    private SchemaChecker(JsonNode document) {
        mDocument = document;
        SchemaValidatorsConfig config =
                SchemaValidatorsConfig.builder()
                        .pathType(PathType.JSON_POINTER)
                        .locale(Locale.ROOT)
                        .build();
        mSchema =
                JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                        .getSchema(document, config);
    }

    /** Checker of whole documents. */
    static SchemaChecker ofConfiguration() {
        return new SchemaChecker(load());
    }

    /** Checker of a submitted job: the fields of a configured job and its {@code id}. */
    static SchemaChecker ofJob() {
        ObjectNode document = load();
        ObjectNode job = document.path("$defs").path("job").deepCopy();
        ((ObjectNode) job.get("properties")).putObject("id").put("$ref", "#/$defs/name");
        job.withArray("required").add("id");
        job.set("$schema", document.get("$schema"));
        job.set("$defs", document.get("$defs"));
        return new SchemaChecker(job);
    }

    /** One violation, not yet placed in a file. */
    record Violation(String path, String keyword, String found, String accepted) {}

    List<Violation> check(JsonNode tree) {
        List<Violation> violations = new ArrayList<>();
        for (ValidationMessage message : mSchema.validate(tree)) {
            violations.add(violation(message));
        }
        return violations;
    }

    private Violation violation(ValidationMessage message) {
        String path = path(message.getInstanceLocation());
        JsonNode schema = parentSchema(message.getSchemaLocation().getFragment());
        String keyword = message.getType();
        String property = message.getProperty();
        return switch (keyword) {
            case "additionalProperties" -> {
                String found = "unknown field \"" + property + "\"";
                yield new Violation(
                        JsonPaths.field(path, property), keyword, found, fields(schema));
            }
            case "required" -> {
                String accepted = accepted(resolve(schema.path("properties").path(property)));
                yield new Violation(JsonPaths.field(path, property), keyword, "nothing", accepted);
            }
            case "propertyNames" -> {
                String name = String.valueOf(message.getArguments()[0]);
                yield new Violation(path, keyword, "a name that is refused: " + name, names());
            }
            default -> {
                JsonNode node = message.getInstanceNode();
                String found = LocatingReader.describe(node);
                if (node != null && node.isContainerNode()) {
                    found += " with " + node.size() + " entries";
                }
                yield new Violation(path, keyword, found, accepted(schema));
            }
        };
    }

    private JsonNode parentSchema(JsonNodePath fragment) {
        JsonNode node = mDocument;
        for (int i = 0; i < fragment.getNameCount() - 1; i++) {
            Object element = fragment.getElement(i);
            node = element instanceof Integer index ? node.path(index) : node.path("" + element);
        }
        return node;
    }

    private JsonNode resolve(JsonNode schema) {
        String reference = schema.path("$ref").asText();
        return reference.isEmpty() ? schema : mDocument.at(reference.substring(1));
    }

    private String names() {
        return accepted(mDocument.at("/$defs/name"));
    }

    private static String fields(JsonNode schema) {
        StringJoiner joiner = new StringJoiner(", ");
        schema.path("properties").fieldNames().forEachRemaining(joiner::add);
        return joiner.toString();
    }

    private String accepted(JsonNode schema) {
        if (schema.has("enum")) {
            StringJoiner joiner = new StringJoiner(", ");
            schema.get("enum").forEach(value -> joiner.add(value.toString()));
            return joiner.toString();
        }
        return switch (schema.path("type").asText()) {
            case "integer" -> "an integer" + range(schema);
            case "number" -> "a number" + range(schema);
            case "boolean" -> "true, false";
            case "string" -> "a string" + stringRule(schema);
            case "array" -> "an array" + counts(schema, "Items") + items(schema);
            case "object" -> "an object" + counts(schema, "Properties");
            default -> "another value";
        };
    }

    private String items(JsonNode schema) {
        String unique = schema.path("uniqueItems").asBoolean() ? ", each only once" : "";
        return " of: " + accepted(resolve(schema.path("items"))) + unique;
    }

    private static String range(JsonNode schema) {
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

    private static String stringRule(JsonNode schema) {
        if (schema.has("pattern")) {
            return " that matches " + schema.get("pattern").asText();
        }
        return " of at most " + schema.path("maxLength").asText() + " characters";
    }

    private static String counts(JsonNode schema, String suffix) {
        String minimum = schema.path("min" + suffix).asText();
        String maximum = schema.path("max" + suffix).asText();
        String text = minimum.isEmpty() ? "" : " with at least " + minimum;
        if (!maximum.isEmpty()) {
            text += (text.isEmpty() ? " with at most " : " and at most ") + maximum;
        }
        return text.isEmpty() ? text : text + " entries";
    }

    private static String path(JsonNodePath location) {
        String path = JsonPaths.ROOT;
        for (int i = 0; i < location.getNameCount(); i++) {
            Object element = location.getElement(i);
            path =
                    element instanceof Integer index
                            ? JsonPaths.item(path, index)
                            : JsonPaths.field(path, "" + element);
        }
        return path;
    }

    private static ObjectNode load() {
        try (InputStream in = SchemaChecker.class.getResourceAsStream(RESOURCE)) {
            return (ObjectNode) new ObjectMapper().readTree(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
