package org.knapweedbank.config;

/**
 * Keys of the configuration in the store. Generation numbers are padded to 12 digits, so that the
 * order of the keys is the order of the generations.
 */
public final class ConfigurationKeys {
    /** Key of the head, which identifies the generation in force. */
    public static final String HEAD = "/kwb/c/config/head";

    /** Prefix of the keys of generations. */
    public static final String GENERATION_PREFIX = "/kwb/config/gen/";

    /** Prefix of the keys of audit records. */
    public static final String AUDIT_PREFIX = "/kwb/audit/";

    private ConfigurationKeys() {}

    /**
     * Returns the key of a generation.
     *
     * @param generation the generation number
     * @return the key
     */
    public static String generationKey(long generation) {
        return GENERATION_PREFIX + padGeneration(generation);
    }

    /**
     * Returns the key of an audit record.
     *
     * @param generation generation that the change created
     * @return the key
     */
    public static String auditKey(long generation) {
        return AUDIT_PREFIX + padGeneration(generation);
    }

    private static String padGeneration(long generation) {
        return "%012d".formatted(generation);
    }
}
