package org.knapweedbank.config;

/**
 * Record of a change, kept under {@code /kwb/audit/N}.
 *
 * @param generation generation that the change set
 * @param at wall time of the change, ISO 8601
 * @param operator name of the operator
 * @param action {@code apply}, {@code dc out NAME} or {@code dc in NAME}
 * @param outcome {@code applied}
 * @param digest SHA-256 of the document in hexadecimal
 * @param writer identifier of the entry that wrote the generation
 * @param sequence number of the write at that entry
 * @param change identifier that the operator's client gave to the change, or empty
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
