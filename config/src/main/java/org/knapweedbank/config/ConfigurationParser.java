package org.knapweedbank.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Parser of configuration files: JSON in UTF-8 with {@code //} and {@code /* *}{@code /} comments
 * and trailing commas. It reports all errors of a file at once, except that a syntax error ends the
 * file. Thread-safe.
 */
public final class ConfigurationParser {
    /** Rules that hold for a merged document, and not for a base file or overlay alone. */
    private static final Set<String> RULES_OF_WHOLE = Set.of("required", "minProperties");

    private final SchemaChecker mConfiguration = SchemaChecker.ofConfiguration();
    private final SchemaChecker mJob = SchemaChecker.ofJob();

    /**
     * Parses a base file. Required fields may be left to the overlay; null is an error.
     *
     * @param file name of the file, for messages
     * @param bytes its content
     * @return the content and the errors
     */
    public ParsedFile parseBase(String file, byte[] bytes) {
        return check(new LocatingReader(file).read(bytes), mConfiguration, false, false);
    }

    /**
     * Parses an overlay, in which null removes a field of the base.
     *
     * @param file name of the file, for messages
     * @param bytes its content
     * @return the content and the errors
     */
    public ParsedFile parseOverlay(String file, byte[] bytes) {
        return check(new LocatingReader(file).read(bytes), mConfiguration, true, false);
    }

    /**
     * Parses a complete, merged document.
     *
     * @param file name of the document, for messages
     * @param bytes its content
     * @return the content and the errors
     */
    public ParsedFile parseDocument(String file, byte[] bytes) {
        return check(new LocatingReader(file).read(bytes), mConfiguration, false, true);
    }

    /**
     * Parses a job as submitted: the fields of a configured job and its {@code id}.
     *
     * @param file name of the document, for messages
     * @param bytes its content
     * @return the content and the errors; {@link JobDocuments#toSpec} converts it
     */
    public ParsedFile parseJob(String file, byte[] bytes) {
        return check(new LocatingReader(file).read(bytes), mJob, false, true);
    }

    /** Checks a merged tree against the schema; the violations are not yet placed in a file. */
    List<SchemaChecker.Violation> checkMerged(JsonNode tree) {
        return mConfiguration.check(tree);
    }

    private static ParsedFile check(
            ParsedFile parsed, SchemaChecker checker, boolean nullRemoves, boolean complete) {
        if (!parsed.isAccepted()) {
            return parsed;
        }
        List<ConfigurationError> errors = new ArrayList<>();
        JsonNode tree = nullRemoves ? withoutNulls(parsed.tree()) : parsed.tree();
        for (SchemaChecker.Violation violation : checker.check(tree)) {
            if (complete || !RULES_OF_WHOLE.contains(violation.keyword())) {
                errors.add(place(violation, parsed));
            }
        }
        errors.sort(Comparator.comparingInt(ConfigurationError::line));
        return new ParsedFile(parsed.file(), parsed.tree(), parsed.lines(), errors);
    }

    private static ConfigurationError place(SchemaChecker.Violation violation, ParsedFile parsed) {
        int line = Lines.nearest(parsed.lines(), violation.path());
        return new ConfigurationError(
                parsed.file(), line, violation.path(), violation.found(), violation.accepted());
    }

    private static ObjectNode withoutNulls(ObjectNode tree) {
        ObjectNode copy = tree.deepCopy();
        strip(copy);
        return copy;
    }

    private static void strip(ObjectNode node) {
        Set.copyOf(node.properties())
                .forEach(
                        field -> {
                            if (field.getValue().isNull()) {
                                node.remove(field.getKey());
                            } else if (field.getValue() instanceof ObjectNode object) {
                                strip(object);
                            }
                        });
    }
}
