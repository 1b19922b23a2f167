package org.knapweedbank.model;

/** What is known about the execution of a caller's request. */
public sealed interface RequestOutcome {
    /** The upstream ran the request and its whole answer was received. */
    record Answered() implements RequestOutcome {}

    /**
     * It is proven that no upstream ran the request and that none will.
     *
     * @param reason short reason for the caller
     */
    record NotRun(String reason) implements RequestOutcome {}

    /**
     * The request may have run.
     *
     * @param reason short reason for the caller
     */
    record Unknown(String reason) implements RequestOutcome {}

    /**
     * The name of the outcome in problem documents.
     *
     * @return {@code answered}, {@code not-run} or {@code unknown}
     */
    default String label() {
        return switch (this) {
            case Answered answered -> "answered";
            case NotRun notRun -> "not-run";
            case Unknown unknown -> "unknown";
        };
    }
}
