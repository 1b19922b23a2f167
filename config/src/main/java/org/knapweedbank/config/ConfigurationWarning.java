package org.knapweedbank.config;

/**
 * Something in a configuration that is accepted but probably not intended.
 *
 * @param file name of the file
 * @param line line, from 1; 0 if unknown
 * @param path JSON path
 * @param message a sentence for the operator
 */
public record ConfigurationWarning(String file, int line, String path, String message) {
    @Override
    public String toString() {
        String place = line == 0 ? file : file + ":" + line;
        return place + ": " + path + ": warning: " + message;
    }
}
