package org.knapweedbank.config;

/** Keys of the configuration in the store. Numbers have 12 digits, so that keys sort by number. */
public final class ConfigurationKeys {
    /** The generation in force. */
    public static final String HEAD = "/kwb/c/config/head";

    /** Prefix of the generations. */
    public static final String GENERATIONS = "/kwb/config/gen/";

    /** Prefix of the audit records. */
    public static final String AUDIT = "/kwb/audit/";

    private ConfigurationKeys() {}

    /**
     * Key of a generation.
     *
     * @param generation the generation
     * @return the key
     */
    public static String generation(long generation) {
        return GENERATIONS + number(generation);
    }

    /**
     * Key of an audit record.
     *
     * @param generation generation that the change set
     * @return the key
     */
    public static String audit(long generation) {
        return AUDIT + number(generation);
    }

    private static String number(long number) {
        return "%012d".formatted(number);
    }
}
