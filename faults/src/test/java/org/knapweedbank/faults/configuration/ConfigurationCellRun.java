package org.knapweedbank.faults.configuration;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedbank.config.ApplyResult;
import org.knapweedbank.config.AuditRecord;
import org.knapweedbank.config.ChangeRequest;
import org.knapweedbank.config.ConfigurationState;
import org.knapweedbank.config.ConfigurationStore;
import org.knapweedbank.faults.CellOutcome;
import org.knapweedbank.faults.Fault;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.standin.AnswerLoss;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.standin.StoreCallKind;
import org.knapweedbank.standin.StoreClient;
import org.knapweedbank.store.StoreResult;

/** One cell of the configuration domain: two operators, three entries, three agents. */
final class ConfigurationCellRun {
    private static final int CHANGE_COUNT = 12;
    private static final Set<Fault> HARMLESS_FAULTS =
            Set.of(Fault.NONE, Fault.CLOCK_DRIFT, Fault.OPERATORS_RACE);
    private static final Duration REACTION_LIMIT = Duration.ofSeconds(3);

    private final ConfigurationStep mStep;
    private final List<Fault> mFaults;
    private final ConfigurationMutant mMutant;
    private final Simulation mSimulation;
    private final InMemoryStore mStore;
    private final ConfigurationStore mAuditStore;
    private final Map<String, StoreClient> mStoreClients = new LinkedHashMap<>();
    private final Map<String, SimConfigEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, SimConfigAgent> mAgents = new LinkedHashMap<>();
    private final Map<String, Long> mGenerationsInForce = new LinkedHashMap<>();
    private final Map<String, ApplyResult> mResults = new LinkedHashMap<>();
    private final Map<String, Long> mExpectedGenerations = new LinkedHashMap<>();
    private final Set<String> mCutPaths = new HashSet<>();
    private final Set<String> mGoneAgents = new HashSet<>();
    private Fault mMessageFault = Fault.NONE;
    private int mMessagesToAffect;
    private int mOccurrencesToSkip;
    private boolean mFaultInjected;
    private boolean mChangesStarted;
    private boolean mRaceNextChange;

    ConfigurationCellRun(
            ConfigurationStep step, List<Fault> faults, long seed, ConfigurationMutant mutant) {
        mStep = step;
        mFaults = faults;
        mMutant = mutant;
        mSimulation = new Simulation(seed * 1_000 + 700 + step.ordinal());
        mStore = new InMemoryStore(mSimulation.clock(1, 0));
        mAuditStore = new ConfigurationStore(mStore, mSimulation.clock(1, 0), "auditor/1");
        mAuditStore.apply(request("first", 0), document(0)).await().indefinitely();
        for (String name : List.of("entry1", "entry2", "entry3")) {
            mStoreClients.put(name, mStore.client());
            startEntry(name);
        }
        for (String name : List.of("agent1", "agent2", "agent3")) {
            mAgents.put(name, new SimConfigAgent(this, name));
        }
        // The last change is followed by no other that would hide a lost push.
        boolean mayHitLastChange =
                step == ConfigurationStep.GENERATION_READ || step == ConfigurationStep.CHANGE_SENT;
        boolean atLastChange = mayHitLastChange && mSimulation.random().nextBoolean();
        mOccurrencesToSkip = atLastChange ? CHANGE_COUNT : mSimulation.random().nextInt(4);
        mSimulation.schedule(Duration.ofMillis(20), this::tickStore);
    }

    private void tickStore() {
        mStore.tick();
        mSimulation.schedule(Duration.ofMillis(20), this::tickStore);
    }

    private void startEntry(String name) {
        double rate = !mFaults.contains(Fault.CLOCK_DRIFT) ? 1 : 1.0049;
        mEntries.put(
                name,
                new SimConfigEntry(
                        this, name, mSimulation.clock(rate, 0), mStoreClients.get(name)));
    }

    static byte[] document(int weight) {
        String text =
                """
                {"site": "s",
                 "dataCentres": {"a": {"region": "r"}, "b": {"region": "r"}, "c": {"region": "r"}},
                 "teams": {"t": {"deserved": {"milliCpu": 1, "memoryMb": 1}, "weight": %d}}}
                """;
        return text.formatted(weight + 1).getBytes(StandardCharsets.UTF_8);
    }

    private static ChangeRequest request(String change, long expectedGeneration) {
        return new ChangeRequest(
                "operator-" + change, OptionalLong.of(expectedGeneration), change, false);
    }

    Simulation simulation() {
        return mSimulation;
    }

    ConfigurationMutant mutant() {
        return mMutant;
    }

    List<SimConfigEntry> entries() {
        return List.copyOf(mEntries.values());
    }

    boolean isPathCut(String agent, boolean toAgent) {
        return mCutPaths.contains(agent + (toAgent ? "<" : ">"));
    }

    Fault nextMessageFault() {
        if (mMessagesToAffect == 0) {
            return Fault.NONE;
        }
        mMessagesToAffect--;
        return mMessageFault;
    }

    void reachStep(ConfigurationStep step) {
        if (!mChangesStarted || step != mStep || mFaultInjected || mOccurrencesToSkip-- > 0) {
            return;
        }
        mFaultInjected = true;
        for (Fault fault : mFaults) {
            mSimulation.trace("FAULT", fault + " at " + step);
            injectFault(fault);
        }
    }

    /** A daemon has put a generation in force. */
    void recordGeneration(String daemon, long generation) {
        mSimulation.trace(daemon, "generation " + generation + " in force");
        long before = mGenerationsInForce.getOrDefault(daemon, 0L);
        if (generation < before) {
            mSimulation.recordViolation(
                    10, daemon + " goes back from generation " + before + " to " + generation);
        }
        mGenerationsInForce.put(daemon, generation);
    }

    // Operators

    private void submitChange(int number, String entryName) {
        SimConfigEntry entry = mEntries.get(entryName);
        long expectedGeneration = currentGeneration();
        reachStep(ConfigurationStep.GENERATION_READ);
        int changes = mRaceNextChange ? 2 : 1;
        mRaceNextChange = false;
        for (int i = 0; i < changes; i++) {
            sendChange(entry, number * 10 + i, expectedGeneration);
        }
    }

    private void sendChange(SimConfigEntry entry, int number, long expectedGeneration) {
        String id = "change-" + number;
        long sentGeneration =
                mMutant == ConfigurationMutant.GENERATION_SEEN_IGNORED
                        ? currentGeneration()
                        : expectedGeneration;
        ChangeRequest request = request(id, sentGeneration);
        mExpectedGenerations.put(id, expectedGeneration);
        mSimulation.trace(entry.name(), "sends " + id + " on generation " + expectedGeneration);
        reachStep(ConfigurationStep.CHANGE_SENT);
        boolean changesDataCentre = number / 10 % 3 != 0;
        boolean takesOut = number / 10 % 3 == 1;
        (changesDataCentre
                        ? entry.store().setRemoved(request, "b", takesOut)
                        : entry.store().apply(request, document(number)))
                .subscribe()
                .with(result -> recordResult(id, result, changesDataCentre, takesOut));
    }

    private void recordResult(
            String id, ApplyResult result, boolean changesDataCentre, boolean takesOut) {
        mSimulation.trace("operator", id + ": " + result);
        mResults.put(id, result);
        if (!(result instanceof ApplyResult.Applied applied) || !applied.changed()) {
            return;
        }
        reachStep(ConfigurationStep.CHANGE_ACCEPTED);
        if (changesDataCentre) {
            reachStep(
                    takesOut
                            ? ConfigurationStep.DATA_CENTRE_TAKEN_OUT
                            : ConfigurationStep.DATA_CENTRE_TAKEN_IN);
        }
        if (applied.generation() != mExpectedGenerations.get(id) + 1) {
            mSimulation.recordViolation(10, id + " was applied on a generation that was not seen");
        }
        if (HARMLESS_FAULTS.containsAll(mFaults)) {
            mSimulation.schedule(REACTION_LIMIT, () -> checkInForce(applied.generation()));
        }
    }

    private long currentGeneration() {
        return ((StoreResult.Succeeded<ConfigurationState>)
                        mAuditStore.current().await().indefinitely())
                .value()
                .number();
    }

    private void checkInForce(long generation) {
        for (String daemon : List.of("entry1", "entry2", "entry3", "agent1", "agent2", "agent3")) {
            if (!mGoneAgents.contains(daemon)
                    && mGenerationsInForce.getOrDefault(daemon, 0L) < generation) {
                mSimulation.recordViolation(
                        10, daemon + " does not have generation " + generation + " in time");
            }
        }
    }

    // Faults

    private int pickRandom(int... values) {
        return values[mSimulation.random().nextInt(values.length)];
    }

    private void injectFault(Fault fault) {
        String agent = "agent" + (1 + mSimulation.random().nextInt(3));
        String entry = "entry" + (1 + mSimulation.random().nextInt(3));
        boolean atEntry = mSimulation.random().nextBoolean();
        Duration outage = Duration.ofMillis(pickRandom(500, 2_000, 8_000));
        switch (fault) {
            case NONE, CLOCK_DRIFT, WORKER_FAILS_EVERYTHING, CANCELLATION -> {}
            case PROCESS_KILLED -> {
                if (atEntry) {
                    mEntries.get(entry).process().kill();
                    mGenerationsInForce.remove(entry);
                    startEntry(entry);
                } else {
                    mAgents.get(agent).process().kill();
                    mGenerationsInForce.remove(agent);
                    mAgents.put(agent, new SimConfigAgent(this, agent));
                }
            }
            case PROCESS_PAUSED -> {
                SimProcess process =
                        atEntry ? mEntries.get(entry).process() : mAgents.get(agent).process();
                process.pause(outage);
            }
            case STORE_DOWN -> applyToStoreClients(outage, client -> client.faults().down(true));
            case STORE_SLOW -> {
                Duration delay = Duration.ofMillis(pickRandom(100, 1_000, 3_000));
                applyToStoreClients(outage, client -> client.faults().slow(delay));
            }
            case ANSWER_LOST -> {
                AnswerLoss loss = AnswerLoss.values()[mSimulation.random().nextInt(2)];
                StoreCallKind kind = atEntry ? StoreCallKind.WRITE : StoreCallKind.READ;
                int count = pickRandom(1, 2, 4);
                mStoreClients
                        .values()
                        .forEach(client -> client.faults().loseAnswers(kind, loss, count));
            }
            case MESSAGE_LOST, MESSAGE_DOUBLED, MESSAGE_LATE, MESSAGES_REORDERED -> {
                mMessageFault = fault;
                mMessagesToAffect = pickRandom(1, 4, 12);
            }
            case NETWORK_CUT_ONE_WAY -> cutPath(outage, agent + (atEntry ? "<" : ">"));
            case NETWORK_CUT -> {
                cutPath(outage, agent + "<");
                cutPath(outage, agent + ">");
            }
            case OPERATORS_RACE -> mRaceNextChange = true;
            case VM_GONE -> {
                mAgents.get(agent).process().kill();
                mGoneAgents.add(agent);
            }
        }
    }

    private void applyToStoreClients(
            Duration outage, java.util.function.Consumer<StoreClient> fault) {
        mStoreClients.values().forEach(fault);
        mSimulation.schedule(
                outage, () -> mStoreClients.values().forEach(client -> client.faults().clear()));
    }

    private void cutPath(Duration outage, String path) {
        mCutPaths.add(path);
        mSimulation.schedule(outage, () -> mCutPaths.remove(path));
    }

    // Run

    CellOutcome run() {
        mSimulation.runFor(Duration.ofSeconds(3));
        mChangesStarted = true;
        for (int i = 1; i <= CHANGE_COUNT; i++) {
            submitChange(i, "entry" + (1 + i % 3));
            mSimulation.runFor(Duration.ofMillis(700));
        }
        mSimulation.runFor(Duration.ofSeconds(15));
        submitChange(CHANGE_COUNT + 1, "entry1");
        mSimulation.runFor(Duration.ofSeconds(12));
        checkInForce(currentGeneration());
        checkAudit();
        return new CellOutcome(mFaultInjected, mSimulation);
    }

    /** Compares what the operators were told with the audit records. */
    private void checkAudit() {
        List<AuditRecord> records =
                ((StoreResult.Succeeded<List<AuditRecord>>)
                                mAuditStore.audit(100, OptionalLong.empty()).await().indefinitely())
                        .value();
        Map<String, Long> generationsByChange =
                records.stream()
                        .collect(Collectors.toMap(AuditRecord::change, AuditRecord::generation));
        List<Long> generations = new ArrayList<>(generationsByChange.values());
        if (new HashSet<>(generations).size() != generations.size()) {
            mSimulation.recordViolation(
                    10, "two changes have one generation: " + generationsByChange);
        }
        mResults.forEach(
                (id, result) -> {
                    boolean written = generationsByChange.containsKey(id);
                    boolean applied =
                            result instanceof ApplyResult.Applied applyResult
                                    && applyResult.changed();
                    boolean outcomeUnknown = result instanceof ApplyResult.Unknown;
                    if (!outcomeUnknown && applied != written) {
                        mSimulation.recordViolation(
                                10, id + " was told " + result + ", written: " + written);
                    }
                });
    }
}
