package org.knapweedbank.control;

import java.util.List;
import java.util.stream.Stream;
import org.knapweedbank.store.journal.JournalContents;

/** Decodes the snapshot and the log of a partition journal. */
final class JournalReplay {
    private JournalReplay() {}

    /**
     * Returns the records of the snapshot followed by those of the log, in journal order.
     *
     * @throws JournalFormatException if the snapshot or a log record cannot be decoded
     */
    static List<JournalRecord> records(JournalContents contents) {
        Stream<JournalRecord> snapshot = JournalCodec.decodeSnapshot(contents.snapshot()).stream();
        Stream<JournalRecord> log = contents.records().stream().map(JournalCodec::decode);
        return Stream.concat(snapshot, log).toList();
    }
}
