package org.knapweedbank.node.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.link.NodeMessage;

/** The owner's links to the other entries. */
final class EntryLinks {
    private final List<EntryLink> mLinks = new ArrayList<>();

    /**
     * Entries that were linked at some time since the store has last shown the registered ones.
     * They may be registered since, and take over.
     */
    private final Set<DaemonId> mRecentlyLinked = new HashSet<>();

    /** Entries that have withdrawn since then, and not been linked again. */
    private final Set<DaemonId> mWithdrawn = new HashSet<>();

    void add(EntryLink link) {
        mLinks.add(link);
        mRecentlyLinked.add(link.entry());
        mWithdrawn.remove(link.entry());
    }

    /** Handles that an entry will begin no term, unless it starts again. */
    void withdraw(DaemonId entry) {
        mWithdrawn.add(entry);
    }

    void remove(EntryLink link) {
        mLinks.remove(link);
    }

    int count() {
        return mLinks.size();
    }

    void send(NodeMessage message) {
        mLinks.forEach(link -> link.send(message));
    }

    void closeAll(String reason) {
        List.copyOf(mLinks).forEach(link -> link.close(reason));
    }

    /** Returns the entries that are linked now. */
    Set<DaemonId> linked() {
        return mLinks.stream().map(EntryLink::entry).collect(Collectors.toSet());
    }

    /** Handles that the store has shown the registered entries. */
    void registeredEntriesRead() {
        mWithdrawn.clear();
        mRecentlyLinked.clear();
        mLinks.stream()
                .filter(link -> !link.isWithdrawn())
                .map(EntryLink::entry)
                .forEach(mRecentlyLinked::add);
    }

    /** Returns the other entries that may take over. */
    Set<DaemonId> possibleSuccessors(Set<DaemonId> registered) {
        Set<DaemonId> successors = new HashSet<>(registered);
        successors.addAll(mRecentlyLinked);
        successors.removeAll(mWithdrawn);
        return successors;
    }
}
