package org.knapweedbank.node.entry;

import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.node.store.ReadOutcome;

/** Finds the entries through the store. */
public final class EntryDirectory {
    private EntryDirectory() {}

    /**
     * Reads the addresses of the entries.
     *
     * @param store the store
     * @param done receives the addresses, the owner's first; empty if the store can't be read
     */
    public static void read(CoordinationStore store, Consumer<List<String>> done) {
        store.read(
                StoreKeys.MEMBERS,
                true,
                outcome -> {
                    MemberView view = new MemberView();
                    if (outcome instanceof ReadOutcome.Items items) {
                        view.replace(items.items());
                    }
                    done.accept(addresses(view));
                });
    }

    /** Addresses in a view, the owner's first. */
    static List<String> addresses(MemberView view) {
        String owner = view.owner().map(OwnerRecord::address).orElse("");
        return view.entries().values().stream()
                .map(value -> value.split("\n", -1)[0])
                .sorted(Comparator.comparing(address -> !address.equals(owner)))
                .toList();
    }
}
