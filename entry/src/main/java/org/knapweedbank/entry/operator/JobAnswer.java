package org.knapweedbank.entry.operator;

/** What this entry can answer to a request about jobs. */
sealed interface JobAnswer {
    /** The answer. */
    record Answered(OperatorAnswer answer) implements JobAnswer {}

    /** Another entry owns the partition of the job; the owner's identifier may be empty. */
    record OwnedBy(int partition, String ownerId) implements JobAnswer {}
}
