package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Differences between two documents. */
final class DocumentDiff {
    private DocumentDiff() {}

    /**
     * One difference.
     *
     * @param path JSON path
     * @param before value in force, or null if there is none
     * @param after value in the files, or null if there is none
     */
    record Difference(String path, JsonNode before, JsonNode after) {
        @Override
        public String toString() {
            if (before == null) {
                return "+ " + path + ": " + after;
            }
            return after == null
                    ? "- " + path + ": " + before
                    : "~ " + path + ": " + before + " -> " + after;
        }
    }

    static List<Difference> between(JsonNode before, JsonNode after) {
        List<Difference> differences = new ArrayList<>();
        compare("$", before, after, differences);
        return differences;
    }

    private static void compare(
            String path, JsonNode before, JsonNode after, List<Difference> differences) {
        TreeSet<String> names = new TreeSet<>();
        before.fieldNames().forEachRemaining(names::add);
        after.fieldNames().forEachRemaining(names::add);
        for (String name : names) {
            String child = path + "." + name;
            JsonNode left = before.get(name);
            JsonNode right = after.get(name);
            if (left != null && right != null && left.isObject() && right.isObject()) {
                compare(child, left, right, differences);
            } else if (left == null || !left.equals(right)) {
                differences.add(new Difference(child, left, right));
            }
        }
    }
}
