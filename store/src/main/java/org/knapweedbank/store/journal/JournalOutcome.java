package org.knapweedbank.store.journal;

/** Outcome of a journal write. */
public sealed interface JournalOutcome {
    /** The record is in the store. */
    record Committed() implements JournalOutcome {}

    /**
     * Another entry owns the partition now. The record is not in the store, unless an earlier
     * attempt to write it had an unknown outcome and the new owner has compacted the log since.
     */
    record Fenced() implements JournalOutcome {}

    /** The journal was closed; the record may be in the store. */
    record Closed() implements JournalOutcome {}
}
