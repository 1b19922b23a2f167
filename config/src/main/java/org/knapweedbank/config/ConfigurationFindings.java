package org.knapweedbank.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.knapweedbank.model.Resources;

/**
 * Checks a configuration before it is applied: errors and warnings of the merge, entries that never
 * match, and values that contradict each other. Does no I/O.
 */
public final class ConfigurationFindings {
    private static final List<ConfigurationRule> RULES =
            List.of(
                    VmSizeRules::emptySizes,
                    ServiceRules::unusedIdempotencyKey,
                    TeamRules::unavailableAccelerators,
                    TeamRules::indivisibleAccelerators,
                    TeamRules::replicasOverQuota,
                    JobRules::unknownService,
                    JobRules::runTimeOfService,
                    JobRules::taskOverQuota,
                    SpellingRules::regions,
                    SpellingRules::taskClasses);

    private ConfigurationFindings() {}

    /**
     * Returns all findings in a configuration.
     *
     * @param base the base file
     * @param overlay the overlay of the site, or empty
     * @param merged result of merging these files
     * @return the errors, then the warnings of the merge, then the violations of further rules by
     *     file and line; the rules are checked only if there are no errors
     */
    public static List<Finding> find(
            ParsedFile base, Optional<ParsedFile> overlay, MergeResult merged) {
        Stream<Finding> reported =
                Stream.concat(
                        merged.errors().stream().map(Finding::of),
                        merged.warnings().stream()
                                .map(warning -> Finding.of(FindingKind.WARNING, warning)));
        return Stream.concat(
                        reported,
                        merged.isAccepted()
                                ? violations(merged, new SourceLocations(base, overlay))
                                : Stream.empty())
                .toList();
    }

    private static Stream<Finding> violations(MergeResult merged, SourceLocations locations) {
        RuleContext context =
                new RuleContext(
                        merged.toConfiguration(0, Set.of()), vmSizes(merged.document()), locations);
        return RULES.stream()
                .flatMap(rule -> rule.check(context))
                .sorted(
                        Comparator.comparing((Finding finding) -> finding.place().file())
                                .thenComparing(finding -> finding.place().line()));
    }

    private static Map<String, Resources> vmSizes(ObjectNode document) {
        Map<String, Resources> sizes = new TreeMap<>();
        document.path("vmSizes")
                .properties()
                .forEach(
                        size ->
                                sizes.put(
                                        size.getKey(),
                                        ConfigurationBinder.toResources(size.getValue())));
        return sizes;
    }
}
