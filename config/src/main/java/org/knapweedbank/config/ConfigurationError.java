package org.knapweedbank.config;

/**
 * An error in a configuration file.
 *
 * @param file name of the file
 * @param line line of the error, starting at 1; 0 if the error belongs to no line
 * @param path JSON path of the value, for example {@code $.teams.grants.weight}
 * @param found description of the value found
 * @param accepted description of the accepted values
 */
public record ConfigurationError(
        String file, int line, String path, String found, String accepted) {
    @Override
    public String toString() {
        String location = line == 0 ? file : file + ":" + line;
        return location + ": " + path + ": found " + found + "; accepted: " + accepted;
    }
}
