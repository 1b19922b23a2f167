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

/** Runs one cell of the configuration domain: operators, three entries and three agents. */
final class ConfigurationCellRun {
    /** Number of changes before the final one. */
    private static final int CHANGE_COUNT = 12;

    /** Faults that must not delay a change. */
    private static final Set<Fault> HARMLESS_FAULTS =
            Set.of(Fault.NONE, Fault.CLOCK_DRIFT, Fault.OPERATORS_RACE);

    /** Time within which each daemon has to put a change in force unless a fault may delay it. */
    private static final Duration REACTION_LIMIT = Duration.ofSeconds(3);

    /** Step at which the faults are injected. */
    private final ConfigurationStep mStep;

    private final List<Fault> mFaults;

    /** Defect to run with, or null. */
    private final ConfigurationMutant mMutant;

    private final Simulation mSimulation;
    private final InMemoryStore mStore;

    /** Store access without faults, for the first configuration and for checks. */
    private final ConfigurationStore mAuditStore;

    private final Map<String, StoreClient> mStoreClients = new LinkedHashMap<>();
    private final Map<String, SimConfigEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, SimConfigAgent> mAgents = new LinkedHashMap<>();

    /** Generation in force, by daemon. */
    private final Map<String, Long> mGenerationsInForce = new LinkedHashMap<>();

    /** Results that the operators received, by change. */
    private final Map<String, ApplyResult> mResults = new LinkedHashMap<>();

    /** Generation that the operator saw, by change. */
    private final Map<String, Long> mExpectedGenerations = new LinkedHashMap<>();

    /**
     * Interrupted network paths: an agent's name with {@code <} for messages to it and {@code >}
     * for messages from it.
     */
    private final Set<String> mCutPaths = new HashSet<>();

    /** Agents whose VM was removed. */
    private final Set<String> mGoneAgents = new HashSet<>();

    /** Fault that affects the next messages. */
    private Fault mMessageFault = Fault.NONE;

    /** Number of messages that the message fault still affects. */
    private int mMessagesToAffect;

    /** Number of times that the step passes before the faults are injected. */
    private int mOccurrencesToSkip;

    /** Whether the step was reached and the faults have been injected. */
    private boolean mFaultInjected;

    /**
     * Whether the daemons have started and the operators send changes; steps before are not
     * counted.
     */
    private boolean mChangesStarted;

    /** Whether two operators send the next change at the same time. */
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
        // A push that is lost after the last change stays visible, because no later change
        // replaces it.
        boolean mayHitLastChange =
                step == ConfigurationStep.GENERATION_READ || step == ConfigurationStep.CHANGE_SENT;
        boolean atLastChange = mayHitLastChange && mSimulation.random().nextBoolean();
        mOccurrencesToSkip = atLastChange ? CHANGE_COUNT : mSimulation.random().nextInt(4);
        mSimulation.schedule(Duration.ofMillis(20), this::tickStore);
    }

    /** Advances the leases and delays of the store, every 20 ms. */
    private void tickStore() {
        mStore.tick();
        mSimulation.schedule(Duration.ofMillis(20), this::tickStore);
    }

    /** Starts an incarnation of an entry. */
    private void startEntry(String name) {
        double rate = !mFaults.contains(Fault.CLOCK_DRIFT) ? 1 : 1.0049;
        mEntries.put(
                name,
                new SimConfigEntry(
                        this, name, mSimulation.clock(rate, 0), mStoreClients.get(name)));
    }

    /** Returns a configuration that differs from others by the weight of its team. */
    static byte[] document(int weight) {
        String text =
                """
                {"site": "s",
                 "dataCentres": {"a": {"region": "r"}, "b": {"region": "r"}, "c": {"region": "r"}},
                 "teams": {"t": {"deserved": {"milliCpu": 1, "memoryMb": 1}, "weight": %d}}}
                """;
        return text.formatted(weight + 1).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns a change request.
     *
     * @param change id of the change
     * @param expectedGeneration generation that the change is based on
     */
    private static ChangeRequest request(String change, long expectedGeneration) {
        return new ChangeRequest(
                "operator-" + change, OptionalLong.of(expectedGeneration), change, false);
    }

    Simulation simulation() {
        return mSimulation;
    }

    /** Returns the defect to run with, or null. */
    ConfigurationMutant mutant() {
        return mMutant;
    }

    /** Returns the current incarnations of the entries. */
    List<SimConfigEntry> entries() {
        return List.copyOf(mEntries.values());
    }

    /** Returns whether messages to or from an agent are lost. */
    boolean isPathCut(String agent, boolean toAgent) {
        return mCutPaths.contains(agent + (toAgent ? "<" : ">"));
    }

    /** Returns the fault that affects the next message, or {@link Fault#NONE}. */
    Fault nextMessageFault() {
        if (mMessagesToAffect == 0) {
            return Fault.NONE;
        }
        mMessagesToAffect--;
        return mMessageFault;
    }

    /** Injects the faults when the step of the cell is reached often enough. */
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

    /**
     * Records that a daemon has put a generation in force, and checks that it is not older than the
     * one before.
     */
    void recordGeneration(String daemon, long generation) {
        mSimulation.trace(daemon, "generation " + generation + " in force");
        long previous = mGenerationsInForce.getOrDefault(daemon, 0L);
        if (generation < previous) {
            mSimulation.recordViolation(
                    10, daemon + " goes back from generation " + previous + " to " + generation);
        }
        mGenerationsInForce.put(daemon, generation);
    }

    // Operators

    /**
     * Sends a change through an entry, or two competing changes if a race was requested.
     *
     * @param number number of the change in the cell, from 1
     */
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

    /**
     * Sends a change. Of three changes in a row, one takes a data centre out of service, one
     * returns it to service and one applies a document.
     *
     * @param number number of the change times 10, plus 1 for the second of two competing changes
     * @param expectedGeneration generation that the operator saw
     */
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
                        ? entry.store().setOutOfService(request, "b", takesOut)
                        : entry.store().apply(request, document(number)))
                .subscribe()
                .with(result -> recordResult(id, result, changesDataCentre, takesOut));
    }

    /**
     * Records the result that the operator received, and checks an applied change.
     *
     * @param changesDataCentre whether the change affects a data centre instead of the document
     * @param takesOut whether the data centre is taken out of service
     */
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

    /** Returns the generation in force according to the store. */
    private long currentGeneration() {
        return ((StoreResult.Succeeded<ConfigurationState>)
                        mAuditStore.current().await().indefinitely())
                .value()
                .generationNumber();
    }

    /** Checks that each remaining daemon has put at least a generation in force. */
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

    /** Returns one of the values at random. */
    private int pickRandom(int... values) {
        return values[mSimulation.random().nextInt(values.length)];
    }

    /** Injects a fault into a random entry or agent for a random time. */
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

    /** Applies a store fault to all entries and clears it after the outage. */
    private void applyToStoreClients(
            Duration outage, java.util.function.Consumer<StoreClient> fault) {
        mStoreClients.values().forEach(fault);
        mSimulation.schedule(
                outage, () -> mStoreClients.values().forEach(client -> client.faults().clear()));
    }

    /** Loses all messages on a path during the outage. */
    private void cutPath(Duration outage, String path) {
        mCutPaths.add(path);
        mSimulation.schedule(outage, () -> mCutPaths.remove(path));
    }

    /** Runs the cell to its end and returns its outcome. */
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

    /** Compares the results that the operators received with the audit records. */
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
