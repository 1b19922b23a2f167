package org.knapweedbank.faults.task;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.knapweedbank.config.DataCentreSettings;
import org.knapweedbank.config.ServiceSettings;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.config.TeamSettings;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.standin.StoreClient;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;

/** Operators who take data centres out of service and bring them back, through the store. */
final class SiteOperator {
    static final String HEAD = "/kwb/c/config/head";

    private final Simulation mSimulation;
    private final StoreClient mStore;
    private final Map<String, Long> mOutSince = new LinkedHashMap<>();

    SiteOperator(Simulation simulation, StoreClient store) {
        mSimulation = simulation;
        mStore = store;
    }

    /** Writes the first generation. */
    void begin() {
        mutate(removed -> removed);
    }

    void takeOut(String dataCentre) {
        mutate(removed -> plus(removed, dataCentre));
    }

    void bringBack(String dataCentre) {
        mutate(removed -> minus(removed, dataCentre));
    }

    /** How long a data centre has been out of service; zero for one in service. */
    Duration outFor(String dataCentre) {
        return Duration.ofNanos(
                mSimulation.now() - mOutSince.getOrDefault(dataCentre, mSimulation.now()));
    }

    static SiteConfiguration decode(byte[] value) {
        String[] parts = new String(value, StandardCharsets.UTF_8).split(";", -1);
        Set<String> removed = Set.of(parts[1].isEmpty() ? new String[0] : parts[1].split(","));
        return new SiteConfiguration(
                Long.parseLong(parts[0]),
                "test",
                1,
                List.of("a", "b").stream()
                        .map(
                                name ->
                                        new DataCentreSettings(
                                                new DataCentreId(name),
                                                "region",
                                                removed.contains(name)))
                        .toList(),
                List.of(new ServiceSettings("web", 50, 1_000, 100, Set.of("GET"), false)),
                List.of(new TeamSettings("team", new Resources(64_000, 65_536, 8), 1, 0)),
                List.of());
    }

    private Optional<KeyEntry> head() {
        StoreResult<KeyRange> read = mStore.get(HEAD).await().indefinitely();
        return ((StoreResult.Succeeded<KeyRange>) read).value().first();
    }

    /** Changes the removed data centres by compare-and-swap, without a way to lose the race. */
    private void mutate(UnaryOperator<Set<String>> change) {
        mutate(head(), change);
    }

    private boolean mutate(Optional<KeyEntry> seen, UnaryOperator<Set<String>> change) {
        Set<String> removed = new TreeSet<>();
        long generation = 1;
        if (seen.isPresent()) {
            SiteConfiguration present = decode(seen.get().value());
            present.removed().forEach(dataCentre -> removed.add(dataCentre.value()));
            generation = present.generation() + 1;
        }
        Set<String> changed = new TreeSet<>(change.apply(removed));
        String value = generation + ";" + String.join(",", changed);
        Compare compare =
                seen.<Compare>map(entry -> new Compare.ModifiedAt(HEAD, entry.modRevision()))
                        .orElse(new Compare.Absent(HEAD));
        Transaction write =
                Transaction.when(
                        List.of(compare),
                        List.of(
                                new Operation.Put(
                                        HEAD, value.getBytes(StandardCharsets.UTF_8), 0)));
        StoreResult<TransactionResult> result = mStore.transact(write).await().indefinitely();
        boolean done = ((StoreResult.Succeeded<TransactionResult>) result).value().compared();
        if (done) {
            mSimulation.trace("operator", "configuration " + value);
            changed.forEach(name -> mOutSince.putIfAbsent(name, mSimulation.now()));
            mOutSince.keySet().retainAll(changed);
        }
        return done;
    }

    private static Set<String> plus(Set<String> set, String name) {
        Set<String> result = new TreeSet<>(set);
        result.add(name);
        return result;
    }

    private static Set<String> minus(Set<String> set, String name) {
        Set<String> result = new TreeSet<>(set);
        result.remove(name);
        return result;
    }

    /** Two operators change the same generation; one of them has to lose. */
    void race() {
        Optional<KeyEntry> seen = head();
        boolean first = mutate(seen, removed -> plus(removed, "a"));
        boolean second = mutate(seen, removed -> plus(removed, "b"));
        if (!first || second) {
            mSimulation.violate(10, "both or neither of two racing changes took effect");
        }
        mSimulation.after(Duration.ofSeconds(10), () -> bringBack("a"));
    }
}
