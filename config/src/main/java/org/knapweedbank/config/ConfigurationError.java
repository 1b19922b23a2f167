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
    /**
     * Returns what was found and what is accepted.
     *
     * @return the description, without file, line and path
     */
    public String description() {
        return "found " + found + "; accepted: " + accepted;
    }

    @Override
    public String toString() {
        return Finding.of(this).toString();
    }
}
