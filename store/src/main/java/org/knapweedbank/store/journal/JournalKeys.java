package org.knapweedbank.store.journal;

/**
 * Store keys of the journal of one partition. Numbers are padded with zeros, so that the order of
 * the keys is the order of the numbers.
 */
record JournalKeys(int partition) {
    String logKeyPrefix() {
        return "/kwb/p/" + partition + "/log/";
    }

    String segmentKey(long sequence) {
        return logKeyPrefix() + toPaddedHex(sequence);
    }

    String snapshotKey() {
        return "/kwb/p/" + partition + "/snap";
    }

    String partKeyPrefix() {
        return "/kwb/p/" + partition + "/part/";
    }

    /**
     * Returns the key prefix of the parts of one snapshot, which is identified by the epoch of its
     * writer and the last log segment that it contains.
     */
    String snapshotPartKeyPrefix(long epoch, long lastSequence) {
        return partKeyPrefix() + toPaddedHex(epoch) + "-" + toPaddedHex(lastSequence) + "/";
    }

    String partKey(long epoch, long lastSequence, int index) {
        return snapshotPartKeyPrefix(epoch, lastSequence) + String.format("%04d", index);
    }

    private static String toPaddedHex(long number) {
        return String.format("%016x", number);
    }
}
