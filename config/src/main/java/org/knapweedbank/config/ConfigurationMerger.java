package org.knapweedbank.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Merges an overlay over a base file and checks the whole. Objects, and with them the named lists,
 * are merged field by field; null removes a field; every other value replaces that of the base.
 * Pure and thread-safe.
 */
public final class ConfigurationMerger {
    private final ConfigurationParser mParser;

    /**
     * Creates a merger.
     *
     * @param parser holds the schema that the merged document is checked against
     */
    public ConfigurationMerger(ConfigurationParser parser) {
        mParser = parser;
    }

    /**
     * Merges two files and checks the result.
     *
     * @param base the base file
     * @param overlay the overlay of the site, or empty
     * @return the merged document with errors and warnings; when a file has errors, only those
     */
    public MergeResult merge(ParsedFile base, Optional<ParsedFile> overlay) {
        List<ConfigurationError> errors = new ArrayList<>(base.errors());
        overlay.ifPresent(file -> errors.addAll(file.errors()));
        ObjectNode merged = base.tree().deepCopy();
        if (!errors.isEmpty()) {
            return new MergeResult(merged.removeAll(), errors, List.of());
        }
        Places places = new Places(base, overlay);
        List<ConfigurationWarning> warnings = new ArrayList<>();
        overlay.ifPresent(file -> mergeObject(merged, file.tree(), JsonPaths.ROOT, warnings, file));
        for (SchemaChecker.Violation violation : mParser.checkMerged(merged)) {
            errors.add(places.error(violation.path(), violation.found(), violation.accepted()));
        }
        if (errors.isEmpty()) {
            new ConfigurationChecker(merged, places, errors, warnings).check();
        }
        errors.sort(Comparator.comparing(ConfigurationError::file).thenComparing(e -> e.line()));
        return new MergeResult(merged, errors, warnings);
    }

    /**
     * Checks a complete document.
     *
     * @param document the document
     * @return the document with errors and warnings
     */
    public MergeResult check(ParsedFile document) {
        return merge(document, Optional.empty());
    }

    private static void mergeObject(
            ObjectNode target,
            ObjectNode overlay,
            String path,
            List<ConfigurationWarning> warnings,
            ParsedFile file) {
        overlay.properties()
                .forEach(
                        field -> {
                            String name = field.getKey();
                            String child = JsonPaths.field(path, name);
                            JsonNode value = field.getValue();
                            if (value.isNull()) {
                                if (target.remove(name) == null) {
                                    warnings.add(removesNothing(file, child));
                                }
                            } else if (value instanceof ObjectNode object) {
                                ObjectNode inner =
                                        target.get(name) instanceof ObjectNode present
                                                ? present
                                                : target.putObject(name);
                                mergeObject(inner, object, child, warnings, file);
                            } else {
                                target.set(name, value);
                            }
                        });
    }

    private static ConfigurationWarning removesNothing(ParsedFile file, String path) {
        int line = Lines.nearest(file.lines(), path);
        String message = "null removes nothing, as the base has no such field";
        return new ConfigurationWarning(file.file(), line, path, message);
    }
}
