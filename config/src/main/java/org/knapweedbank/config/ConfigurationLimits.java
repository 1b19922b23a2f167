package org.knapweedbank.config;

/** Limits on configuration documents and on what the store keeps of them. */
public final class ConfigurationLimits {
    /**
     * Largest size of a file or document in bytes. A merged document with its generation data has
     * to fit into a value of the store (1 MB) and into a frame (1 MiB).
     */
    public static final int MAX_BYTES = 512 * 1024;

    /** Largest nesting depth of objects and arrays; the schema needs 5. */
    public static final int MAX_DEPTH = 16;

    /** Largest length of a string in characters. */
    public static final int MAX_STRING = 16 * 1024;

    /** Largest number of digits of a number. */
    public static final int MAX_NUMBER_DIGITS = 32;

    /** Generations whose documents are kept in the store. */
    public static final int KEPT_GENERATIONS = 64;

    /** Audit records kept in the store; about 50 days at 1,900 changes a day. */
    public static final int KEPT_AUDIT_RECORDS = 100_000;

    private ConfigurationLimits() {}
}
