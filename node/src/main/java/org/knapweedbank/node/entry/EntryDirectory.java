package org.knapweedbank.node.entry;

import static java.util.stream.Collectors.toMap;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.node.store.ReadOutcome;
import org.knapweedbank.node.store.StoreItem;

/** Looks up the addresses of the entries in the store. */
public final class EntryDirectory {
    private EntryDirectory() {}

    /**
     * Reads the addresses of all entries.
     *
     * @param store the store
     * @param done receives the addresses, the owner's first; empty if the store can't be read
     */
    public static void readAddresses(CoordinationStore store, Consumer<List<String>> done) {
        store.read(
                StoreKeys.MEMBERSHIP_PREFIX,
                true,
                outcome -> {
                    List<StoreItem> items =
                            outcome instanceof ReadOutcome.Items found ? found.items() : List.of();
                    Map<String, StoreItem> itemsByKey =
                            items.stream().collect(toMap(StoreItem::key, Function.identity()));
                    done.accept(addresses(new MembershipView(itemsByKey)));
                });
    }

    /** Returns the addresses in a view, the owner's first. */
    static List<String> addresses(MembershipView view) {
        String ownerAddress = view.owner().map(OwnerRecord::address).orElse("");
        return view.entries().values().stream()
                .map(EntryRecord::address)
                .sorted(Comparator.comparing(address -> !address.equals(ownerAddress)))
                .toList();
    }
}
