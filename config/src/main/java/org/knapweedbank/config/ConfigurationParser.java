package org.knapweedbank.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Parses configuration files, which are JSON in UTF-8 with {@code //} and {@code /* *}{@code /}
 * comments and trailing commas. All errors of a file are reported at once, but parsing stops at the
 * first syntax error. Thread-safe.
 */
public final class ConfigurationParser {
    /** Schema keywords that are checked only on merged documents, as each file may be partial. */
    private static final Set<String> COMPLETE_DOCUMENT_KEYWORDS =
            Set.of("required", "minProperties");

    private final SchemaChecker mConfigurationSchema = SchemaChecker.forConfiguration();
    private final SchemaChecker mJobSchema = SchemaChecker.forSubmittedJob();

    /**
     * Parses a base file. Required fields may be missing, as the overlay may set them; null is an
     * error.
     *
     * @param file name of the file, used in error messages
     * @param bytes content of the file
     * @return the parsed content with its errors
     */
    public ParsedFile parseBase(String file, byte[] bytes) {
        return check(new LineTrackingReader(file).read(bytes), mConfigurationSchema, false, false);
    }

    /**
     * Parses an overlay, in which null removes a field of the base file.
     *
     * @param file name of the file, used in error messages
     * @param bytes content of the file
     * @return the parsed content with its errors
     */
    public ParsedFile parseOverlay(String file, byte[] bytes) {
        return check(new LineTrackingReader(file).read(bytes), mConfigurationSchema, true, false);
    }

    /**
     * Parses a complete, merged document.
     *
     * @param file name of the document, used in error messages
     * @param bytes content of the file
     * @return the parsed content with its errors
     */
    public ParsedFile parseDocument(String file, byte[] bytes) {
        return check(new LineTrackingReader(file).read(bytes), mConfigurationSchema, false, true);
    }

    /**
     * Parses a submitted job, which has the fields of a configured job and an {@code id}.
     *
     * @param file name of the document, used in error messages
     * @param bytes content of the file
     * @return the parsed content with its errors; {@link JobDocuments#toSpec} converts it
     */
    public ParsedFile parseJob(String file, byte[] bytes) {
        return check(new LineTrackingReader(file).read(bytes), mJobSchema, false, true);
    }

    /** Checks a merged tree against the schema; the violations do not refer to a file yet. */
    List<SchemaChecker.Violation> checkMerged(JsonNode tree) {
        return mConfigurationSchema.check(tree);
    }

    private static ParsedFile check(
            ParsedFile parsed, SchemaChecker checker, boolean nullRemoves, boolean complete) {
        if (!parsed.isAccepted()) {
            return parsed;
        }
        List<ConfigurationError> errors = new ArrayList<>();
        JsonNode tree = nullRemoves ? withoutNulls(parsed.tree()) : parsed.tree();
        for (SchemaChecker.Violation violation : checker.check(tree)) {
            if (complete || !COMPLETE_DOCUMENT_KEYWORDS.contains(violation.keyword())) {
                errors.add(toError(violation, parsed));
            }
        }
        errors.sort(Comparator.comparingInt(ConfigurationError::line));
        return new ParsedFile(parsed.file(), parsed.tree(), parsed.lines(), errors);
    }

    private static ConfigurationError toError(
            SchemaChecker.Violation violation, ParsedFile parsed) {
        int line = PathLines.nearestLine(parsed.lines(), violation.path());
        return new ConfigurationError(
                parsed.file(), line, violation.path(), violation.found(), violation.accepted());
    }

    private static ObjectNode withoutNulls(ObjectNode tree) {
        ObjectNode copy = tree.deepCopy();
        removeNulls(copy);
        return copy;
    }

    private static void removeNulls(ObjectNode node) {
        Set.copyOf(node.properties())
                .forEach(
                        field -> {
                            if (field.getValue().isNull()) {
                                node.remove(field.getKey());
                            } else if (field.getValue() instanceof ObjectNode object) {
                                removeNulls(object);
                            }
                        });
    }
}
