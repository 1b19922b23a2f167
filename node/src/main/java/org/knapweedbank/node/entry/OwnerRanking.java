package org.knapweedbank.node.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Ranks the entries as candidates for the ownership. The entry with the largest processor share
 * comes first, as the owner has more work than the others. Of equal ones, the process that has
 * started last comes first: when the entries are restarted one after the other, it is the one that
 * is restarted last, while the next in a fixed order would be restarted next, and the ownership
 * would change with each restart.
 */
final class OwnerRanking {
    private static final Comparator<Map.Entry<String, EntryRecord>> ORDER =
            Comparator.comparingDouble(
                            (Map.Entry<String, EntryRecord> entry) -> -entry.getValue().cpuShare())
                    .thenComparingLong(entry -> -entry.getValue().processStartMillis())
                    .thenComparing(Map.Entry::getKey);

    private OwnerRanking() {}

    /**
     * Returns the position of an entry.
     *
     * @param entries records of the entries by their keys
     * @param key key of the entry
     * @return the position, 0 for the best candidate and for an entry that is not registered
     */
    static int rank(Map<String, EntryRecord> entries, String key) {
        List<String> ranked =
                entries.entrySet().stream().sorted(ORDER).map(Map.Entry::getKey).toList();
        return Math.max(0, ranked.indexOf(key));
    }
}
