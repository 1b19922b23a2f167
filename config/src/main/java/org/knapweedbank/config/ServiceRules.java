package org.knapweedbank.config;

import java.util.Set;
import java.util.stream.Stream;

/** Rules for services. */
final class ServiceRules {
    /** HTTP methods that the schema and the entries accept. */
    private static final Set<String> ACCEPTED_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH");

    private ServiceRules() {}

    /** Finds services that require a key although all accepted methods are idempotent. */
    static Stream<Finding> unusedIdempotencyKey(RuleContext context) {
        return context.site().services().stream()
                .filter(ServiceSettings::requireIdempotencyKey)
                .filter(service -> service.idempotentMethods().containsAll(ACCEPTED_METHODS))
                .map(
                        service ->
                                context.noMatch(
                                        JsonPaths.entry("services", service.name())
                                                + ".requireIdempotencyKey",
                                        "the key is never required, because idempotentMethods has"
                                                + " every accepted method"));
    }
}
