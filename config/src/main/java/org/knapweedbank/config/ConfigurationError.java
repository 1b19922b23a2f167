package org.knapweedbank.config;

/**
 * A fault in a configuration file.
 *
 * @param file name of the file
 * @param line line of the fault, from 1; 0 if the file has no such place
 * @param path JSON path, for example {@code $.teams.grants.weight}
 * @param found what the file holds there
 * @param accepted what would be accepted
 */
public record ConfigurationError(
        String file, int line, String path, String found, String accepted) {
    @Override
    public String toString() {
        String place = line == 0 ? file : file + ":" + line;
        return place + ": " + path + ": found " + found + "; accepted: " + accepted;
    }
}
