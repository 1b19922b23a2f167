package org.knapweedbank.config;

import java.util.Optional;

/**
 * Finds the file and line that a path of a merged document comes from.
 *
 * @param base the base file
 * @param overlay the overlay of the site, or empty
 */
record SourceLocations(ParsedFile base, Optional<ParsedFile> overlay) {
    ConfigurationError errorAt(String path, String found, String accepted) {
        ParsedFile file = fileOf(path);
        int line = PathLines.nearestLine(file.lines(), path);
        return new ConfigurationError(file.file(), line, path, found, accepted);
    }

    ConfigurationWarning warningAt(String path, String message) {
        ParsedFile file = fileOf(path);
        return new ConfigurationWarning(
                file.file(), PathLines.nearestLine(file.lines(), path), path, message);
    }

    /**
     * Returns the file that contains the longer prefix of the path; the overlay if both are equal.
     */
    private ParsedFile fileOf(String path) {
        if (overlay.isEmpty()) {
            return base;
        }
        int overlayMatchLength =
                PathLines.nearestRecordedPath(overlay.get().lines(), path).length();
        int baseMatchLength = PathLines.nearestRecordedPath(base.lines(), path).length();
        return overlayMatchLength >= baseMatchLength ? overlay.get() : base;
    }
}
