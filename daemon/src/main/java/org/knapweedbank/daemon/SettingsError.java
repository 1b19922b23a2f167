package org.knapweedbank.daemon;

/**
 * An error in a settings file.
 *
 * @param file the file
 * @param line line number from 1, or 0 if not known
 * @param path path of the value, such as {@code callers.port}, or empty for the whole file
 * @param found what was found
 * @param accepted what is accepted
 */
public record SettingsError(String file, int line, String path, String found, String accepted) {
    @Override
    public String toString() {
        String place = line > 0 ? file + ":" + line : file;
        String what = path.isEmpty() ? "" : path + ": ";
        return place + ": " + what + found + "; accepted: " + accepted;
    }
}
