package org.knapweedbank.config;

/** Limits on configuration documents and on the history kept in the store. */
public final class ConfigurationLimits {
    /**
     * Maximum size of a file or document in bytes. A merged document together with the generation
     * metadata has to fit into a value of the store (1 MB) and into a frame (1 MiB).
     */
    public static final int MAX_DOCUMENT_BYTES = 512 * 1024;

    /** Maximum nesting depth of objects and arrays; the schema needs 5. */
    public static final int MAX_NESTING_DEPTH = 16;

    /** Maximum length of a string in characters. */
    public static final int MAX_STRING_CHARS = 16 * 1024;

    /** Maximum number of digits of a number. */
    public static final int MAX_NUMBER_DIGITS = 32;

    /** Number of generations whose documents are kept in the store. */
    public static final int KEPT_GENERATIONS = 64;

    /**
     * Number of audit records kept in the store, enough for about 50 days at 1,900 changes a day.
     */
    public static final int KEPT_AUDIT_RECORDS = 100_000;

    private ConfigurationLimits() {}
}
