package org.knapweedbank.entry.http;

/** Result of the checks of a caller's request line and headers. */
public sealed interface ParseResult {
    /**
     * The request is valid.
     *
     * @param request the request
     */
    record Valid(CallerRequest request) implements ParseResult {}

    /**
     * The request is refused.
     *
     * @param problem reason
     * @param correlationId identifier for logs
     */
    record Invalid(Problem problem, String correlationId) implements ParseResult {}
}
