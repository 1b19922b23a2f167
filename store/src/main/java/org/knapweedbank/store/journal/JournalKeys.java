package org.knapweedbank.store.journal;

/** Keys of the journal of one partition. Numbers are padded so that keys sort by number. */
record JournalKeys(int partition) {
    String logPrefix() {
        return "/kwb/p/" + partition + "/log/";
    }

    String segment(long sequence) {
        return logPrefix() + padded(sequence);
    }

    String snapshot() {
        return "/kwb/p/" + partition + "/snap";
    }

    String partsPrefix() {
        return "/kwb/p/" + partition + "/part/";
    }

    /** Prefix of the parts of one snapshot; a snapshot is identified by its writer and position. */
    String partsPrefix(long epoch, long lastSequence) {
        return partsPrefix() + padded(epoch) + "-" + padded(lastSequence) + "/";
    }

    String part(long epoch, long lastSequence, int index) {
        return partsPrefix(epoch, lastSequence) + String.format("%04d", index);
    }

    private static String padded(long number) {
        return String.format("%016x", number);
    }
}
