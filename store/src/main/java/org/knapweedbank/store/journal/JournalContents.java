package org.knapweedbank.store.journal;

import java.util.List;

/**
 * Contents of a journal.
 *
 * @param snapshot the last snapshot, or an empty array
 * @param records records after the snapshot, in order
 */
public record JournalContents(byte[] snapshot, List<byte[]> records) {}
