package org.knapweedbank.model;

/** Checks shared by the identifier records. */
final class Identifiers {
    private Identifiers() {}

    static void requireNonEmpty(String value, String what) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(what + " is empty");
        }
    }
}
