package org.knapweedbank.config;

/**
 * Something in a configuration that is accepted but probably not intended.
 *
 * @param file name of the file
 * @param line line number, starting at 1; 0 if unknown
 * @param path JSON path of the value
 * @param message explanation for the operator
 */
public record ConfigurationWarning(String file, int line, String path, String message) {
    @Override
    public String toString() {
        return Finding.of(FindingKind.WARNING, this).toString();
    }
}
