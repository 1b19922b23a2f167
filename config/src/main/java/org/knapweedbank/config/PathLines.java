package org.knapweedbank.config;

import java.util.Map;

/** Looks up the line number of a JSON path in a parsed file. */
final class PathLines {
    private PathLines() {}

    /** Returns the line of the path or of its nearest parent in the file; 0 if there is neither. */
    static int nearestLine(Map<String, Integer> lineByPath, String path) {
        return lineByPath.getOrDefault(nearestRecordedPath(lineByPath, path), 0);
    }

    /** Returns the path itself, its nearest parent in the file, or the root. */
    static String nearestRecordedPath(Map<String, Integer> lineByPath, String path) {
        String prefix = path;
        while (!lineByPath.containsKey(prefix)) {
            int end = Math.max(prefix.lastIndexOf('.'), prefix.lastIndexOf('['));
            if (end <= 0) {
                return JsonPaths.ROOT;
            }
            prefix = prefix.substring(0, end);
        }
        return prefix;
    }
}
