package org.knapweedbank.config;

/**
 * Identifies a write, so that it can be recognized in the store after its response was lost.
 *
 * @param writer identifier of the entry that wrote it, with the incarnation of the entry
 * @param sequence sequence number of the write at that entry
 * @param change identifier that the operator's client gave to the change, or an empty string
 */
record ChangeIdentity(String writer, long sequence, String change) {
    boolean matches(ConfigurationHead head) {
        return matches(head.writer(), head.sequence(), head.change());
    }

    boolean matches(AuditRecord record) {
        return matches(record.writer(), record.sequence(), record.change());
    }

    private boolean matches(String otherWriter, long otherSequence, String otherChange) {
        return writer.equals(otherWriter) && sequence == otherSequence
                || !change.isEmpty() && change.equals(otherChange);
    }
}
