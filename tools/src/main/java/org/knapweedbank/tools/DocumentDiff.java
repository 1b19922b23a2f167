package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** Compares two configuration documents. */
final class DocumentDiff {
    /**
     * Compares scalar values. Numbers are equal if their values are, as the parser of the files and
     * that of the responses create different types of nodes for the same number.
     */
    private static final Comparator<JsonNode> VALUE_ORDER =
            (left, right) -> {
                if (left.isNumber() && right.isNumber()) {
                    return left.decimalValue().compareTo(right.decimalValue());
                }
                return left.equals(right) ? 0 : 1;
            };

    private DocumentDiff() {}

    /**
     * A field whose value differs between the two documents.
     *
     * @param path JSON path of the field
     * @param before value in the generation in force, or null if the field is absent there
     * @param after value in the files, or null if the field is absent there
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

    static List<Difference> compare(JsonNode before, JsonNode after) {
        List<Difference> differences = new ArrayList<>();
        collectDifferences("$", before, after, differences);
        return differences;
    }

    private static void collectDifferences(
            String path, JsonNode before, JsonNode after, List<Difference> differences) {
        TreeSet<String> names = new TreeSet<>();
        before.fieldNames().forEachRemaining(names::add);
        after.fieldNames().forEachRemaining(names::add);
        for (String name : names) {
            String childPath = path + "." + name;
            JsonNode beforeValue = before.get(name);
            JsonNode afterValue = after.get(name);
            if (beforeValue != null
                    && afterValue != null
                    && beforeValue.isObject()
                    && afterValue.isObject()) {
                collectDifferences(childPath, beforeValue, afterValue, differences);
            } else if (beforeValue == null || !areEqual(beforeValue, afterValue)) {
                differences.add(new Difference(childPath, beforeValue, afterValue));
            }
        }
    }

    private static boolean areEqual(JsonNode before, JsonNode after) {
        return after != null && before.equals(VALUE_ORDER, after);
    }
}
