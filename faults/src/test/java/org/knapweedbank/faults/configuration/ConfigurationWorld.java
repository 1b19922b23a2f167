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
final class ConfigurationWorld {
    private static final int CHANGES = 12;
    private static final Set<Fault> HARMLESS =
            Set.of(Fault.NONE, Fault.CLOCK_DRIFT, Fault.OPERATORS_RACE);
    private static final Duration BOUND = Duration.ofSeconds(3);

    private final ConfigurationStep mStep;
    private final List<Fault> mFaults;
    private final ConfigurationMutant mMutant;
    private final Simulation mSimulation;
    private final InMemoryStore mStore;
    private final ConfigurationStore mAuditor;
    private final Map<String, StoreClient> mClients = new LinkedHashMap<>();
    private final Map<String, SimConfigEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, SimConfigAgent> mAgents = new LinkedHashMap<>();
    private final Map<String, Long> mInForce = new LinkedHashMap<>();
    private final Map<String, ApplyResult> mResults = new LinkedHashMap<>();
    private final Map<String, Long> mSeen = new LinkedHashMap<>();
    private final Set<String> mCuts = new HashSet<>();
    private final Set<String> mGone = new HashSet<>();
    private Fault mMessageFault = Fault.NONE;
    private int mMessages;
    private int mFireAt;
    private boolean mFired;
    private boolean mStarted;
    private boolean mRace;

    ConfigurationWorld(
            ConfigurationStep step, List<Fault> faults, long seed, ConfigurationMutant mutant) {
        mStep = step;
        mFaults = faults;
        mMutant = mutant;
        mSimulation = new Simulation(seed * 1_000 + 700 + step.ordinal());
        mStore = new InMemoryStore(mSimulation.clock(1, 0));
        mAuditor = new ConfigurationStore(mStore, mSimulation.clock(1, 0), "auditor/1");
        mAuditor.apply(request("first", 0), document(0)).await().indefinitely();
        for (String name : List.of("entry1", "entry2", "entry3")) {
            mClients.put(name, mStore.client());
            startEntry(name);
        }
        for (String name : List.of("agent1", "agent2", "agent3")) {
            mAgents.put(name, new SimConfigAgent(this, name));
        }
        mFireAt = mSimulation.random().nextInt(4);
        mSimulation.after(Duration.ofMillis(20), this::tickStore);
    }

    private void tickStore() {
        mStore.tick();
        mSimulation.after(Duration.ofMillis(20), this::tickStore);
    }

    private void startEntry(String name) {
        double rate = !mFaults.contains(Fault.CLOCK_DRIFT) ? 1 : 1.0049;
        mEntries.put(
                name,
                new SimConfigEntry(this, name, mSimulation.clock(rate, 0), mClients.get(name)));
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

    private static ChangeRequest request(String change, long expect) {
        return new ChangeRequest("operator-" + change, OptionalLong.of(expect), change, false);
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

    boolean isCut(String agent, boolean toAgent) {
        return mCuts.contains(agent + (toAgent ? "<" : ">"));
    }

    Fault takeMessageFault() {
        if (mMessages == 0) {
            return Fault.NONE;
        }
        mMessages--;
        return mMessageFault;
    }

    void step(ConfigurationStep step) {
        if (!mStarted || step != mStep || mFired || mFireAt-- > 0) {
            return;
        }
        mFired = true;
        for (Fault fault : mFaults) {
            mSimulation.trace("FAULT", fault + " at " + step);
            apply(fault);
        }
    }

    /** A daemon has put a generation in force. */
    void inForce(String daemon, long generation) {
        mSimulation.trace(daemon, "generation " + generation + " in force");
        long before = mInForce.getOrDefault(daemon, 0L);
        if (generation < before) {
            mSimulation.violate(
                    10, daemon + " goes back from generation " + before + " to " + generation);
        }
        mInForce.put(daemon, generation);
    }

    // Operators

    private void change(int number, String name) {
        SimConfigEntry entry = mEntries.get(name);
        long seen = generation();
        step(ConfigurationStep.GENERATION_READ);
        int rivals = mRace ? 2 : 1;
        mRace = false;
        for (int i = 0; i < rivals; i++) {
            send(entry, number * 10 + i, seen);
        }
    }

    private void send(SimConfigEntry entry, int number, long seen) {
        String id = "change-" + number;
        long expect = mMutant == ConfigurationMutant.GENERATION_SEEN_IGNORED ? generation() : seen;
        ChangeRequest request = request(id, expect);
        mSeen.put(id, seen);
        mSimulation.trace(entry.name(), "sends " + id + " on generation " + seen);
        step(ConfigurationStep.CHANGE_SENT);
        boolean dataCentre = number / 10 % 3 != 0;
        boolean out = number / 10 % 3 == 1;
        (dataCentre
                        ? entry.store().setRemoved(request, "b", out)
                        : entry.store().apply(request, document(number)))
                .subscribe()
                .with(result -> answered(id, result, dataCentre, out));
    }

    private void answered(String id, ApplyResult result, boolean dataCentre, boolean out) {
        mSimulation.trace("operator", id + ": " + result);
        mResults.put(id, result);
        if (!(result instanceof ApplyResult.Applied applied) || !applied.changed()) {
            return;
        }
        step(ConfigurationStep.CHANGE_ACCEPTED);
        if (dataCentre) {
            step(
                    out
                            ? ConfigurationStep.DATA_CENTRE_TAKEN_OUT
                            : ConfigurationStep.DATA_CENTRE_TAKEN_IN);
        }
        if (applied.generation() != mSeen.get(id) + 1) {
            mSimulation.violate(10, id + " was applied on a generation that was not seen");
        }
        if (HARMLESS.containsAll(mFaults)) {
            mSimulation.after(BOUND, () -> checkInForce(applied.generation()));
        }
    }

    private long generation() {
        return ((StoreResult.Succeeded<ConfigurationState>)
                        mAuditor.current().await().indefinitely())
                .value()
                .number();
    }

    private void checkInForce(long generation) {
        for (String daemon : List.of("entry1", "entry2", "entry3", "agent1", "agent2", "agent3")) {
            if (!mGone.contains(daemon) && mInForce.getOrDefault(daemon, 0L) < generation) {
                mSimulation.violate(
                        10, daemon + " does not have generation " + generation + " in time");
            }
        }
    }

    // Faults

    private int pick(int... values) {
        return values[mSimulation.random().nextInt(values.length)];
    }

    private void apply(Fault fault) {
        String agent = "agent" + (1 + mSimulation.random().nextInt(3));
        String entry = "entry" + (1 + mSimulation.random().nextInt(3));
        boolean atEntry = mSimulation.random().nextBoolean();
        Duration outage = Duration.ofMillis(pick(500, 2_000, 8_000));
        switch (fault) {
            case NONE, CLOCK_DRIFT, WORKER_FAILS_EVERYTHING, CANCELLATION -> {}
            case PROCESS_KILLED -> {
                if (atEntry) {
                    mEntries.get(entry).process().kill();
                    mInForce.remove(entry);
                    startEntry(entry);
                } else {
                    mAgents.get(agent).process().kill();
                    mInForce.remove(agent);
                    mAgents.put(agent, new SimConfigAgent(this, agent));
                }
            }
            case PROCESS_PAUSED -> {
                SimProcess process =
                        atEntry ? mEntries.get(entry).process() : mAgents.get(agent).process();
                process.pause(outage);
            }
            case STORE_DOWN -> forClients(outage, client -> client.faults().down(true));
            case STORE_SLOW -> {
                Duration delay = Duration.ofMillis(pick(100, 1_000, 3_000));
                forClients(outage, client -> client.faults().slow(delay));
            }
            case ANSWER_LOST -> {
                AnswerLoss point = AnswerLoss.values()[mSimulation.random().nextInt(2)];
                StoreCallKind kind = atEntry ? StoreCallKind.WRITE : StoreCallKind.READ;
                int count = pick(1, 2, 4);
                mClients.values().forEach(c -> c.faults().loseAnswers(kind, point, count));
            }
            case MESSAGE_LOST, MESSAGE_DOUBLED, MESSAGE_LATE, MESSAGES_REORDERED -> {
                mMessageFault = fault;
                mMessages = pick(1, 4, 12);
            }
            case NETWORK_CUT_ONE_WAY -> cut(outage, agent + (atEntry ? "<" : ">"));
            case NETWORK_CUT -> {
                cut(outage, agent + "<");
                cut(outage, agent + ">");
            }
            case OPERATORS_RACE -> mRace = true;
            case VM_GONE -> {
                mAgents.get(agent).process().kill();
                mGone.add(agent);
            }
        }
    }

    private void forClients(Duration outage, java.util.function.Consumer<StoreClient> fault) {
        mClients.values().forEach(fault);
        mSimulation.after(
                outage, () -> mClients.values().forEach(client -> client.faults().clear()));
    }

    private void cut(Duration outage, String path) {
        mCuts.add(path);
        mSimulation.after(outage, () -> mCuts.remove(path));
    }

    // Run

    CellOutcome run() {
        mSimulation.run(Duration.ofSeconds(3));
        mStarted = true;
        for (int i = 1; i <= CHANGES; i++) {
            change(i, "entry" + (1 + i % 3));
            mSimulation.run(Duration.ofMillis(700));
        }
        mSimulation.run(Duration.ofSeconds(15));
        change(CHANGES + 1, "entry1");
        mSimulation.run(Duration.ofSeconds(5));
        checkInForce(generation());
        checkAudit();
        return new CellOutcome(mFired, mSimulation);
    }

    /** Compares what the operators were told with the audit records. */
    private void checkAudit() {
        List<AuditRecord> records =
                ((StoreResult.Succeeded<List<AuditRecord>>)
                                mAuditor.audit(100, OptionalLong.empty()).await().indefinitely())
                        .value();
        Map<String, Long> written =
                records.stream()
                        .collect(Collectors.toMap(AuditRecord::change, AuditRecord::generation));
        List<Long> generations = new ArrayList<>(written.values());
        if (new HashSet<>(generations).size() != generations.size()) {
            mSimulation.violate(10, "two changes have one generation: " + written);
        }
        mResults.forEach(
                (id, result) -> {
                    boolean done = written.containsKey(id);
                    boolean applied = result instanceof ApplyResult.Applied a && a.changed();
                    boolean unknown = result instanceof ApplyResult.Unknown;
                    if (!unknown && applied != done) {
                        mSimulation.violate(10, id + " was told " + result + ", written: " + done);
                    }
                });
    }
}
