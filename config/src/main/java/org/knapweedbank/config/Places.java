package org.knapweedbank.config;

import java.util.Optional;

/** Finds the file and line that a path of a merged document comes from. */
record Places(ParsedFile base, Optional<ParsedFile> overlay) {
    ConfigurationError error(String path, String found, String accepted) {
        ParsedFile file = file(path);
        int line = Lines.nearest(file.lines(), path);
        return new ConfigurationError(file.file(), line, path, found, accepted);
    }

    ConfigurationWarning warning(String path, String message) {
        ParsedFile file = file(path);
        return new ConfigurationWarning(
                file.file(), Lines.nearest(file.lines(), path), path, message);
    }

    /** The file that has the longest part of the path; of two equal ones the overlay. */
    private ParsedFile file(String path) {
        if (overlay.isEmpty()) {
            return base;
        }
        int inOverlay = Lines.nearestPath(overlay.get().lines(), path).length();
        int inBase = Lines.nearestPath(base.lines(), path).length();
        return inOverlay >= inBase ? overlay.get() : base;
    }
}
