package org.knapweedbank.config;

import java.util.regex.Pattern;

/** Builds JSON paths as text, such as {@code $.teams.grants} or {@code $.command[0]}. */
final class JsonPaths {
    static final String ROOT = "$";
    private static final Pattern UNQUOTED_NAME = Pattern.compile("[A-Za-z0-9_-]+");

    private JsonPaths() {}

    static String appendField(String parent, String name) {
        return UNQUOTED_NAME.matcher(name).matches()
                ? parent + "." + name
                : parent + "['" + name.replace("'", "\\'") + "']";
    }

    /** Returns the path of an entry of a named section, such as {@code $.teams.grants}. */
    static String entry(String section, String name) {
        return appendField(appendField(ROOT, section), name);
    }

    static String appendIndex(String parent, int index) {
        return parent + "[" + index + "]";
    }
}
