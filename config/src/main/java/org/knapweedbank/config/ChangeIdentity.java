package org.knapweedbank.config;

/**
 * By what a write is recognized when its answer is lost.
 *
 * @param writer identifier of the entry, with its incarnation
 * @param sequence number of the write at that entry
 * @param change identifier given by the operator's client, or empty
 */
record ChangeIdentity(String writer, long sequence, String change) {
    boolean wrote(ConfigurationHead head) {
        return matches(head.writer(), head.sequence(), head.change());
    }

    boolean wrote(AuditRecord record) {
        return matches(record.writer(), record.sequence(), record.change());
    }

    private boolean matches(String otherWriter, long otherSequence, String otherChange) {
        return writer.equals(otherWriter) && sequence == otherSequence
                || !change.isEmpty() && change.equals(otherChange);
    }
}
