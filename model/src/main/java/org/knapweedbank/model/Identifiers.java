package org.knapweedbank.model;

/** Checks shared by the identifier records. */
final class Identifiers {
    private Identifiers() {}

    static void requireNonEmpty(String value, String description) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(description + " is empty");
        }
    }
}
