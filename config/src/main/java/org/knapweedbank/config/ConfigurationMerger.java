package org.knapweedbank.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Merges a site overlay into a base file and checks the merged document. Objects, including the
 * named sections such as {@code teams}, are merged field by field. A null in the overlay removes
 * the field from the base, and any other value replaces the value of the base. Stateless and
 * thread-safe.
 */
public final class ConfigurationMerger {
    private final ConfigurationParser mParser;

    /**
     * Creates a merger.
     *
     * @param parser parser whose schema the merged document is checked against
     */
    public ConfigurationMerger(ConfigurationParser parser) {
        mParser = parser;
    }

    /**
     * Merges a base file with an overlay and checks the merged document.
     *
     * @param base the base file
     * @param overlay the overlay of the site, or empty if the base file is complete
     * @return the merged document with its errors and warnings; if one of the files has errors,
     *     only those errors
     */
    public MergeResult merge(ParsedFile base, Optional<ParsedFile> overlay) {
        List<ConfigurationError> errors = new ArrayList<>(base.errors());
        overlay.ifPresent(file -> errors.addAll(file.errors()));
        ObjectNode merged = base.tree().deepCopy();
        if (!errors.isEmpty()) {
            return new MergeResult(merged.removeAll(), errors, List.of());
        }
        SourceLocations locations = new SourceLocations(base, overlay);
        List<ConfigurationWarning> warnings = new ArrayList<>();
        overlay.ifPresent(file -> mergeObject(merged, file.tree(), JsonPaths.ROOT, warnings, file));
        for (SchemaChecker.Violation violation : mParser.checkMerged(merged)) {
            errors.add(
                    locations.errorAt(violation.path(), violation.found(), violation.accepted()));
        }
        if (errors.isEmpty()) {
            new ConfigurationChecker(merged, locations, errors, warnings).check();
        }
        errors.sort(Comparator.comparing(ConfigurationError::file).thenComparing(e -> e.line()));
        return new MergeResult(merged, errors, warnings);
    }

    /**
     * Checks a complete document, to which no overlay applies.
     *
     * @param document the parsed document
     * @return the document with its errors and warnings
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
                            String childPath = JsonPaths.appendField(path, name);
                            JsonNode value = field.getValue();
                            if (value.isNull()) {
                                if (target.remove(name) == null) {
                                    warnings.add(removalWithoutEffect(file, childPath));
                                }
                            } else if (value instanceof ObjectNode object) {
                                ObjectNode nestedTarget =
                                        target.get(name) instanceof ObjectNode existing
                                                ? existing
                                                : target.putObject(name);
                                mergeObject(nestedTarget, object, childPath, warnings, file);
                            } else {
                                target.set(name, value);
                            }
                        });
    }

    private static ConfigurationWarning removalWithoutEffect(ParsedFile file, String path) {
        int line = PathLines.nearestLine(file.lines(), path);
        String message = "null removes nothing, as the base has no such field";
        return new ConfigurationWarning(file.file(), line, path, message);
    }
}
