package org.knapweedbank.node.entry;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.knapweedbank.node.store.StoreItem;

/** Decodes the membership keys of the store: the entries, the owner and the term. */
final class MembershipView {
    private final Map<String, StoreItem> mItems;

    /**
     * Creates a view of the items below {@link StoreKeys#MEMBERSHIP_PREFIX}.
     *
     * @param items the items by their keys
     */
    MembershipView(Map<String, StoreItem> items) {
        mItems = items;
    }

    /** Returns the owner; empty if there is none or its record is malformed. */
    Optional<OwnerRecord> owner() {
        StoreItem item = mItems.get(StoreKeys.OWNER);
        if (item == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(OwnerRecord.decode(item.value()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns the revision of the owner key, 0 if the key does not exist. */
    long ownerRevision() {
        return revision(StoreKeys.OWNER);
    }

    /** Returns the revision of the term key, 0 if the key does not exist. */
    long termRevision() {
        return revision(StoreKeys.TERM);
    }

    /** Returns the newest term, 0 if there has been no owner. */
    long term() {
        StoreItem item = mItems.get(StoreKeys.TERM);
        return item == null ? 0 : Long.parseLong(new String(item.value(), StandardCharsets.UTF_8));
    }

    /** Returns the values of the entries' keys, by key. */
    Map<String, String> entryValues() {
        Map<String, String> entries = new HashMap<>();
        mItems.forEach(
                (key, item) -> {
                    if (key.startsWith(StoreKeys.ENTRY_PREFIX)) {
                        entries.put(key, new String(item.value(), StandardCharsets.UTF_8));
                    }
                });
        return entries;
    }

    private long revision(String key) {
        StoreItem item = mItems.get(key);
        return item == null ? 0 : item.revision();
    }
}
