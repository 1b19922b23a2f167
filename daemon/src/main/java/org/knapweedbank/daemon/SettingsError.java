package org.knapweedbank.daemon;

/**
 * An error in a settings file.
 *
 * @param file name of the settings file
 * @param line line number, starting at 1, or 0 if unknown
 * @param path path of the value, such as {@code callers.port}, or an empty string for the whole
 *     file
 * @param found description of the value found
 * @param accepted description of the accepted values
 */
public record SettingsError(String file, int line, String path, String found, String accepted) {
    @Override
    public String toString() {
        String location = line > 0 ? file + ":" + line : file;
        String pathPrefix = path.isEmpty() ? "" : path + ": ";
        return location + ": " + pathPrefix + found + "; accepted: " + accepted;
    }
}
