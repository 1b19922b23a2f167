package org.knapweedbank.store.journal;

/** Outcome of writing a record or a snapshot to the journal. */
public sealed interface JournalOutcome {
    /** The record or snapshot is in the store. */
    record Committed() implements JournalOutcome {}

    /**
     * Another entry owns the partition now. The record is not in the store, except if an earlier
     * attempt to write it had an unknown outcome and the new owner has compacted the log since.
     */
    record Fenced() implements JournalOutcome {}

    /** The journal was closed. The record may be in the store. */
    record Closed() implements JournalOutcome {}
}
