package org.knapweedbank.control;

import java.util.List;
import java.util.stream.Stream;
import org.knapweedbank.store.journal.JournalContents;

/** Decodes the contents of a journal. */
final class JournalReplay {
    private JournalReplay() {}

    /**
     * The records of snapshot and log, in order.
     *
     * @throws JournalFormatException when one cannot be decoded
     */
    static List<JournalRecord> records(JournalContents contents) {
        Stream<JournalRecord> snapshot = JournalCodec.decodeSnapshot(contents.snapshot()).stream();
        Stream<JournalRecord> log = contents.records().stream().map(JournalCodec::decode);
        return Stream.concat(snapshot, log).toList();
    }
}
