package org.knapweedbank.model;

/** Outcome of a caller's request: whether an upstream is known to have run it. */
public sealed interface RequestOutcome {
    /** The upstream ran the request and its complete response was received. */
    record Answered() implements RequestOutcome {}

    /**
     * It is certain that no upstream has run the request and that none will run it.
     *
     * @param reason short reason for the caller
     */
    record NotRun(String reason) implements RequestOutcome {}

    /**
     * It is not known whether an upstream ran the request.
     *
     * @param reason short reason for the caller
     */
    record Unknown(String reason) implements RequestOutcome {}

    /**
     * Returns the name of the outcome in problem documents.
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
