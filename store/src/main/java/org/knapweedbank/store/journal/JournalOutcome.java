package org.knapweedbank.store.journal;

/** Outcome of a journal write. */
public sealed interface JournalOutcome {
    /** The record is in the store. */
    record Committed() implements JournalOutcome {}

    /** Another entry owns the partition now; the record is not in the store. */
    record Fenced() implements JournalOutcome {}

    /** The journal was closed; the record may be in the store. */
    record Closed() implements JournalOutcome {}
}
