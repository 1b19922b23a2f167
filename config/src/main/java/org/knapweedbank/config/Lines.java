package org.knapweedbank.config;

import java.util.Map;

/** Looks up the line of a JSON path. */
final class Lines {
    private Lines() {}

    /** The line of the path, or of the nearest parent that the file has; 0 if none. */
    static int nearest(Map<String, Integer> lines, String path) {
        return lines.getOrDefault(nearestPath(lines, path), 0);
    }

    /** The path itself, or the nearest parent that the file has, or the root. */
    static String nearestPath(Map<String, Integer> lines, String path) {
        String rest = path;
        while (!lines.containsKey(rest)) {
            int end = Math.max(rest.lastIndexOf('.'), rest.lastIndexOf('['));
            if (end <= 0) {
                return JsonPaths.ROOT;
            }
            rest = rest.substring(0, end);
        }
        return rest;
    }
}
