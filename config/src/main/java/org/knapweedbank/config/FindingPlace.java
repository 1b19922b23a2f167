package org.knapweedbank.config;

/**
 * Place of a finding in a configuration file.
 *
 * @param file name of the file
 * @param line line number, starting at 1; 0 if the finding belongs to no line
 */
public record FindingPlace(String file, int line) {
    @Override
    public String toString() {
        return line == 0 ? file : file + ":" + line;
    }
}
