package org.knapweedbank.entry.http;

/** Result of parsing the request line and headers of a caller's request. */
public sealed interface ParseResult {
    /**
     * The request is valid.
     *
     * @param request the validated request
     */
    record Valid(CallerRequest request) implements ParseResult {}

    /**
     * The request is rejected.
     *
     * @param problem problem document for the caller
     * @param correlationId correlation id of the request
     */
    record Invalid(Problem problem, String correlationId) implements ParseResult {}
}
