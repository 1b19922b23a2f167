package org.knapweedbank.config;

/**
 * Audit record of a configuration change, kept in the store under {@code /kwb/audit/N}.
 *
 * @param generation generation that the change created
 * @param at wall time of the change, in ISO 8601
 * @param operator name of the operator
 * @param action {@code apply}, {@code dc out NAME} or {@code dc in NAME}
 * @param outcome outcome of the change, always {@code applied}
 * @param digest SHA-256 of the document in hexadecimal
 * @param writer identifier of the entry that wrote the generation
 * @param sequence sequence number of the write at that entry
 * @param change identifier that the operator's client gave to the change, or an empty string
 */
public record AuditRecord(
        long generation,
        String at,
        String operator,
        String action,
        String outcome,
        String digest,
        String writer,
        long sequence,
        String change) {}
