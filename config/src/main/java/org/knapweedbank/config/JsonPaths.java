package org.knapweedbank.config;

import java.util.regex.Pattern;

/** Text form of JSON paths. */
final class JsonPaths {
    static final String ROOT = "$";
    private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9_-]+");

    private JsonPaths() {}

    static String field(String parent, String name) {
        return PLAIN.matcher(name).matches()
                ? parent + "." + name
                : parent + "['" + name.replace("'", "\\'") + "']";
    }

    static String item(String parent, int index) {
        return parent + "[" + index + "]";
    }
}
