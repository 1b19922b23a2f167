package org.knapweedbank.node.entry;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.store.StoreItem;

/** Decodes the membership keys of the store: the entries, the owner and the term. */
final class MembershipView {
    /** Highest usable term; run numbers are multiples of the term and must not overflow. */
    private static final long MAX_TERM = 1L << 40;

    private final Map<String, StoreItem> mItems;

    /**
     * Creates a view of the items below {@link StoreKeys#MEMBERSHIP_PREFIX}.
     *
     * @param items the items by their keys
     */
    MembershipView(Map<String, StoreItem> items) {
        mItems = items;
    }

    /**
     * Returns the owner; empty if there is none, or if its record is malformed or not of the newest
     * term. A claim writes both keys at once, so another term means that one of them was damaged.
     */
    Optional<OwnerRecord> owner() {
        return Optional.ofNullable(mItems.get(StoreKeys.OWNER))
                .flatMap(item -> OwnerRecord.decode(item.value()))
                .filter(record -> record.term() == term());
    }

    /** Returns the owner of the newest term, whether it lives or not; empty if it is not known. */
    Optional<LastOwnerRecord> lastOwner() {
        return Optional.ofNullable(mItems.get(StoreKeys.LAST_OWNER))
                .flatMap(item -> LastOwnerRecord.decode(item.value()))
                .filter(record -> record.owner().term() == term());
    }

    /** Returns the well-formed record of an entry; empty if there is none. */
    Optional<EntryRecord> entry(String name) {
        return Optional.ofNullable(mItems.get(StoreKeys.ENTRY_PREFIX + name))
                .flatMap(item -> EntryRecord.decode(item.value()));
    }

    /** Returns the revision at which an entry has registered, 0 if it is not registered. */
    long entryRevision(String name) {
        return revision(StoreKeys.ENTRY_PREFIX + name);
    }

    /** Returns the revision of the owner key, 0 if the key does not exist. */
    long ownerRevision() {
        return revision(StoreKeys.OWNER);
    }

    /** Returns the revision of the term key, 0 if the key does not exist. */
    long termRevision() {
        return revision(StoreKeys.TERM);
    }

    /**
     * Returns the newest term, 0 if there has been no owner. If the stored term is malformed, the
     * revision of its key takes its place: each term was written at a revision of its own, so the
     * revision is not below any earlier term.
     */
    long term() {
        StoreItem item = mItems.get(StoreKeys.TERM);
        if (item == null) {
            return 0;
        }
        try {
            long term = Long.parseLong(new String(item.value(), StandardCharsets.UTF_8));
            return term >= 1 && term <= MAX_TERM ? term : item.revision();
        } catch (NumberFormatException e) {
            return item.revision();
        }
    }

    /** Returns the well-formed records of the entries, by key. */
    Map<String, EntryRecord> entries() {
        Map<String, EntryRecord> entries = new HashMap<>();
        mItems.forEach(
                (key, item) -> {
                    if (key.startsWith(StoreKeys.ENTRY_PREFIX)) {
                        EntryRecord.decode(item.value())
                                .ifPresent(record -> entries.put(key, record));
                    }
                });
        return entries;
    }

    /** Returns the names of all registered entries, also of those with a malformed record. */
    Set<DaemonId> entryNames() {
        return mItems.keySet().stream()
                .filter(key -> key.startsWith(StoreKeys.ENTRY_PREFIX))
                .map(key -> key.substring(StoreKeys.ENTRY_PREFIX.length()))
                .filter(name -> !name.isEmpty())
                .map(DaemonId::new)
                .collect(Collectors.toUnmodifiableSet());
    }

    private long revision(String key) {
        StoreItem item = mItems.get(key);
        return item == null ? 0 : item.revision();
    }
}
