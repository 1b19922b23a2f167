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

/**
 * Operators who take data centres out of service and return them to service through the store. A
 * configuration is stored in short form: the generation and the data centres out of service.
 */
final class SiteOperator {
    /** Store key of the configuration in force. */
    static final String CONFIGURATION_HEAD_KEY = "/kwb/c/config/head";

    private final Simulation mSimulation;
    private final StoreClient mStore;

    /**
     * Virtual time at which a data centre was taken out of service, by its name; only those out of
     * service are present.
     */
    private final Map<String, Long> mOutSinceNanos = new LinkedHashMap<>();

    SiteOperator(Simulation simulation, StoreClient store) {
        mSimulation = simulation;
        mStore = store;
    }

    /** Writes the first generation. */
    void writeFirstGeneration() {
        changeRemoved(removed -> removed);
    }

    /** Takes a data centre out of service. */
    void takeOutOfService(String dataCentre) {
        changeRemoved(removed -> with(removed, dataCentre));
    }

    /** Returns a data centre to service. */
    void returnToService(String dataCentre) {
        changeRemoved(removed -> without(removed, dataCentre));
    }

    /** Returns how long a data centre has been out of service, or zero for one in service. */
    Duration outOfServiceDuration(String dataCentre) {
        return Duration.ofNanos(
                mSimulation.nowNanos()
                        - mOutSinceNanos.getOrDefault(dataCentre, mSimulation.nowNanos()));
    }

    /** Returns the full configuration for the short form in the store. */
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

    /** Reads the store entry of the configuration in force. */
    private Optional<KeyEntry> readHead() {
        StoreResult<KeyRange> read = mStore.get(CONFIGURATION_HEAD_KEY).await().indefinitely();
        return ((StoreResult.Succeeded<KeyRange>) read).value().first();
    }

    /**
     * Changes the set of data centres out of service. Reads and writes without any event in
     * between, so that no other change can come first.
     */
    private void changeRemoved(UnaryOperator<Set<String>> change) {
        changeRemoved(readHead(), change);
    }

    /**
     * Changes the set of data centres out of service if the store entry has not changed since it
     * was read.
     *
     * @param expected the entry as read, or empty if there was none
     * @return whether the change was applied
     */
    private boolean changeRemoved(Optional<KeyEntry> expected, UnaryOperator<Set<String>> change) {
        Set<String> removed = new TreeSet<>();
        long generation = 1;
        if (expected.isPresent()) {
            SiteConfiguration current = decode(expected.get().value());
            current.dataCentresOutOfService()
                    .forEach(dataCentre -> removed.add(dataCentre.value()));
            generation = current.generation() + 1;
        }
        Set<String> changed = new TreeSet<>(change.apply(removed));
        String value = generation + ";" + String.join(",", changed);
        Compare compare =
                expected.<Compare>map(
                                entry ->
                                        new Compare.ModifiedAt(
                                                CONFIGURATION_HEAD_KEY, entry.modRevision()))
                        .orElse(new Compare.Absent(CONFIGURATION_HEAD_KEY));
        Transaction write =
                Transaction.when(
                        List.of(compare),
                        List.of(
                                new Operation.Put(
                                        CONFIGURATION_HEAD_KEY,
                                        value.getBytes(StandardCharsets.UTF_8),
                                        0)));
        StoreResult<TransactionResult> result = mStore.transact(write).await().indefinitely();
        boolean applied =
                ((StoreResult.Succeeded<TransactionResult>) result).value().conditionsHeld();
        if (applied) {
            mSimulation.trace("operator", "writes configuration " + value);
            changed.forEach(name -> mOutSinceNanos.putIfAbsent(name, mSimulation.nowNanos()));
            mOutSinceNanos.keySet().retainAll(changed);
        }
        return applied;
    }

    /** Returns a copy of a set that contains the name. */
    private static Set<String> with(Set<String> set, String name) {
        Set<String> result = new TreeSet<>(set);
        result.add(name);
        return result;
    }

    /** Returns a copy of a set that does not contain the name. */
    private static Set<String> without(Set<String> set, String name) {
        Set<String> result = new TreeSet<>(set);
        result.remove(name);
        return result;
    }

    /**
     * Sends two changes that expect the same generation, and checks that exactly the first is
     * applied.
     */
    void raceTwoChanges() {
        Optional<KeyEntry> expected = readHead();
        boolean firstApplied = changeRemoved(expected, removed -> with(removed, "a"));
        boolean secondApplied = changeRemoved(expected, removed -> with(removed, "b"));
        if (!firstApplied || secondApplied) {
            mSimulation.recordViolation(10, "both or neither of two racing changes took effect");
        }
        mSimulation.schedule(Duration.ofSeconds(10), () -> returnToService("a"));
    }
}
