package org.knapweedbank.config;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Rules for names that are compared exactly but are declared nowhere, so that a second spelling is
 * another name.
 */
final class SpellingRules {
    private SpellingRules() {}

    /** Finds regions that differ only in case from that of an earlier data centre. */
    static Stream<Finding> regions(RuleContext context) {
        return check(
                context.site().dataCentres().stream(),
                DataCentreSettings::region,
                (dataCentre, earlier) ->
                        context.noMatch(
                                JsonPaths.entry("dataCentres", dataCentre.id().value()) + ".region",
                                describe("region", dataCentre.region(), earlier)));
    }

    /** Finds task classes that differ only in case from that of an earlier job. */
    static Stream<Finding> taskClasses(RuleContext context) {
        return check(
                context.site().jobs().stream(),
                job -> job.taskClass(),
                (job, earlier) ->
                        context.noMatch(
                                JsonPaths.entry("jobs", job.id().value()) + ".taskClass",
                                describe("task class", job.taskClass(), earlier)));
    }

    private static <T> Stream<Finding> check(
            Stream<T> entries, Function<T, String> name, SpellingReport<T> report) {
        Map<String, String> firstSpellings = new HashMap<>();
        return entries.flatMap(
                entry -> {
                    String spelling = name.apply(entry);
                    String first =
                            firstSpellings.computeIfAbsent(
                                    spelling.toLowerCase(Locale.ROOT), key -> spelling);
                    return first.equals(spelling)
                            ? Stream.empty()
                            : Stream.of(report.create(entry, first));
                });
    }

    private static String describe(String what, String name, String earlier) {
        return "%s %s differs only in case from %s and is not the same %s"
                .formatted(what, name, earlier, what);
    }

    /** Creates the finding for an entry whose name has an earlier spelling. */
    private interface SpellingReport<T> {
        Finding create(T entry, String earlier);
    }
}
