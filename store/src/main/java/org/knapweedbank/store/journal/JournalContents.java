package org.knapweedbank.store.journal;

import java.util.List;

/**
 * Contents of a journal as read from the store.
 *
 * @param snapshot the last snapshot, or an empty array if there is none
 * @param records records appended after the snapshot, in order
 */
public record JournalContents(byte[] snapshot, List<byte[]> records) {}
