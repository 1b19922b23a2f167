package org.knapweedbank.faults.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedbank.agent.UpstreamTestDriver;
import org.knapweedbank.entry.membership.UpstreamTable;
import org.knapweedbank.entry.upstream.UpstreamKey;
import org.knapweedbank.faults.CellOutcome;
import org.knapweedbank.faults.Fault;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.UpstreamDelta;
import org.knapweedbank.wire.UpstreamRecord;
import org.knapweedbank.wire.UpstreamState;

/**
 * One cell of the membership domain: three agents with an upstream each, three entries, of which
 * the first owns the partition until the second takes it over.
 */
final class MembershipCellRun {
    private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);
    private static final Duration REACTION_LIMIT = Duration.ofSeconds(3);

    /** Longer than an entry keeps an upstream that the owner no longer lists. */
    private static final Duration ISOLATION_DURATION = Duration.ofSeconds(45);

    private final MembershipStep mStep;
    private final List<Fault> mFaults;
    private final MembershipMutant mMutant;
    private final Simulation mSimulation;
    private final Map<String, Agent> mAgents = new LinkedHashMap<>();
    private final Map<String, Entry> mEntries = new LinkedHashMap<>();
    private Entry mOwner;
    private long mEpoch = 1;
    private Fault mMessageFault = Fault.NONE;
    private int mMessagesToAffect;
    private String mCutProcess = "";
    private int mOccurrencesToSkip;
    private boolean mFaultInjected;
    private boolean mScenarioStarted;

    /** Whether the second entry, the present owner, reaches no other entry. */
    private boolean mOwnerIsolated;

    /** One incarnation of an agent. */
    private final class Agent {
        private final String mName;
        private final long mIncarnation = mSimulation.nowNanos();
        private final SimProcess mProcess;
        private final UpstreamTestDriver mDriver;
        private Entry mSessionOwner;
        private boolean mLeaving;
        private boolean mAnnouncementsStopped;
        private long mHeartbeatSeq;

        private Agent(String name) {
            mName = name;
            mProcess = new SimProcess(mSimulation, name);
            mDriver = new UpstreamTestDriver(clock(0.9951));
            mProcess.scheduleRepeating(Duration.ofSeconds(2), this::announce);
            mProcess.scheduleRepeating(TICK_INTERVAL, this::sendHeartbeat);
            announce();
        }

        private void announce() {
            if (!mAnnouncementsStopped) {
                reachStep(MembershipStep.ANNOUNCED);
                mDriver.announce(mName + ":80", mLeaving);
            }
        }

        private void sendHeartbeat() {
            mDriver.expireAnnouncements();
            if (mSessionOwner != mOwner) {
                mSessionOwner = mOwner;
                mHeartbeatSeq = 0;
                mDriver.startSession();
            }
            long seq = ++mHeartbeatSeq;
            List<UpstreamState> states = mDriver.takeChanges(seq);
            if (mMutant == MembershipMutant.CHANGE_NOT_REPEATED) {
                mDriver.acknowledge(seq);
            }
            reachStep(MembershipStep.HEARTBEAT_SENT);
            Entry owner = mSessionOwner;
            transport(
                    mName,
                    () -> owner.mProcess.execute(() -> owner.handleHeartbeat(this, seq, states)));
        }

        private UpstreamKey upstreamKey() {
            return new UpstreamKey(new DaemonId(mName), "svc", mName + ":80");
        }

        private UpstreamRecord record(UpstreamState state) {
            return new UpstreamRecord(
                    new DaemonId(mName), mIncarnation, new DataCentreId("a"), mName + ":1", state);
        }
    }

    /** One entry with its table; the owner relays the records of its agents. */
    private final class Entry {
        private final String mName;
        private final SimProcess mProcess;
        private final UpstreamTable mTable;
        private final Map<UpstreamKey, UpstreamRecord> mLatestRecords = new HashMap<>();

        private Entry(String name) {
            mName = name;
            mProcess = new SimProcess(mSimulation, name);
            mTable = new UpstreamTable(clock(1.0049));
            mProcess.scheduleRepeating(TICK_INTERVAL, () -> mTable.expire());
            mProcess.scheduleRepeating(Duration.ofSeconds(5), this::sendSnapshot);
        }

        private void handleHeartbeat(Agent agent, long seq, List<UpstreamState> states) {
            transport(
                    agent.mName,
                    () ->
                            agent.mProcess.execute(
                                    () -> {
                                        reachStep(MembershipStep.HEARTBEAT_ACKNOWLEDGED);
                                        if (agent.mSessionOwner == this) {
                                            agent.mDriver.acknowledge(seq);
                                        }
                                    }));
            if (!states.isEmpty()) {
                sendDelta(states.stream().map(agent::record).toList(), false);
            }
        }

        private void sendSnapshot() {
            if (mOwner == this || mOwnerIsolated && isFormerOwner()) {
                sendDelta(List.copyOf(mLatestRecords.values()), true);
            }
        }

        private boolean isFormerOwner() {
            return mOwner != this && mName.equals("entry1");
        }

        private boolean canReach(Entry other) {
            return !mOwnerIsolated || this != mOwner && other != mOwner;
        }

        private void sendDelta(List<UpstreamRecord> records, boolean snapshot) {
            long epoch = mOwner == this ? mEpoch : 1;
            UpstreamDelta delta = new UpstreamDelta(0, epoch, snapshot, records);
            reachStep(MembershipStep.DELTA_SENT);
            for (Entry other : mEntries.values()) {
                if (other == this) {
                    applyDelta(delta);
                } else if (canReach(other)) {
                    transport(
                            other.mName,
                            () -> other.mProcess.execute(() -> other.applyDelta(delta)));
                }
            }
        }

        private void applyDelta(UpstreamDelta delta) {
            boolean discardsTable = mMutant == MembershipMutant.OLDER_RECORD_ACCEPTED;
            UpstreamTable table = discardsTable ? new UpstreamTable(clock(1)) : mTable;
            long epoch = mMutant == MembershipMutant.FORMER_OWNER_ACCEPTED ? 1_000 : delta.epoch();
            table.apply(
                    new UpstreamDelta(delta.partition(), epoch, delta.snapshot(), delta.records()));
            for (UpstreamRecord record : delta.records()) {
                table.get(UpstreamKey.of(record)).ifPresent(this::recordLearned);
            }
        }

        private void recordLearned(UpstreamRecord record) {
            reachStep(MembershipStep.ENTRY_LEARNS);
            UpstreamRecord previous = mLatestRecords.put(UpstreamKey.of(record), record);
            boolean goesBack =
                    previous != null
                            && (record.incarnation() < previous.incarnation()
                                    || record.incarnation() == previous.incarnation()
                                            && record.state().seq() < previous.state().seq());
            if (goesBack) {
                mSimulation.recordViolation(
                        8, mName + " goes back from " + previous + " to " + record);
            }
        }

        private boolean isUsable(Agent agent) {
            Optional<UpstreamRecord> record =
                    Optional.ofNullable(mLatestRecords.get(agent.upstreamKey()));
            return record.map(UpstreamRecord::state)
                    .filter(state -> !state.leaving() && !state.gone())
                    .isPresent();
        }
    }

    MembershipCellRun(MembershipStep step, List<Fault> faults, long seed, MembershipMutant mutant) {
        mStep = step;
        mFaults = faults;
        mMutant = mutant;
        mSimulation = new Simulation(seed * 1_000 + 900 + step.ordinal());
        for (String name : List.of("entry1", "entry2", "entry3")) {
            mEntries.put(name, new Entry(name));
        }
        mOwner = mEntries.get("entry1");
        for (String name : List.of("agent1", "agent2", "agent3")) {
            mAgents.put(name, new Agent(name));
        }
        mOccurrencesToSkip = mSimulation.random().nextInt(3);
    }

    private Clock clock(double driftRate) {
        return mSimulation.clock(mFaults.contains(Fault.CLOCK_DRIFT) ? driftRate : 1, 0);
    }

    private void reachStep(MembershipStep step) {
        if (!mScenarioStarted || step != mStep || mFaultInjected || mOccurrencesToSkip-- > 0) {
            return;
        }
        mFaultInjected = true;
        for (Fault fault : mFaults) {
            mSimulation.trace("FAULT", fault + " at " + step);
            injectFault(fault);
        }
    }

    private void transport(String receiverPath, Runnable delivery) {
        if (mCutProcess.equals(receiverPath)) {
            return;
        }
        Duration delay = Duration.ofNanos(4_000_000 + mSimulation.random().nextInt(1_000_000));
        if (mMessagesToAffect > 0) {
            mMessagesToAffect--;
            switch (mMessageFault) {
                case MESSAGE_LOST -> {
                    return;
                }
                case MESSAGE_DOUBLED ->
                        mSimulation.schedule(
                                Duration.ofMillis(100 + mSimulation.random().nextInt(6_000)),
                                delivery);
                default -> delay = Duration.ofMillis(200 + mSimulation.random().nextInt(6_000));
            }
        }
        mSimulation.schedule(delay, delivery);
    }

    private int pickRandom(int... values) {
        return values[mSimulation.random().nextInt(values.length)];
    }

    private void injectFault(Fault fault) {
        String agent = "agent" + (1 + mSimulation.random().nextInt(3));
        boolean atEntry = mSimulation.random().nextBoolean();
        Duration outage = Duration.ofMillis(pickRandom(500, 2_000, 8_000));
        switch (fault) {
            case PROCESS_KILLED -> {
                if (atEntry) {
                    takeOverPartition();
                } else {
                    restartAgent(agent);
                }
            }
            case PROCESS_PAUSED ->
                    (atEntry ? mOwner.mProcess : mAgents.get(agent).mProcess).pause(outage);
            case MESSAGE_LOST, MESSAGE_DOUBLED, MESSAGE_LATE, MESSAGES_REORDERED -> {
                mMessageFault = fault;
                mMessagesToAffect = pickRandom(1, 4, 12);
            }
            case NETWORK_CUT_ONE_WAY, NETWORK_CUT -> {
                mCutProcess = atEntry ? "entry3" : agent;
                mSimulation.schedule(outage, () -> mCutProcess = "");
            }
            case VM_GONE, WORKER_FAILS_EVERYTHING ->
                    mAgents.get(agent).mAnnouncementsStopped = true;
            default -> {}
        }
    }

    private void restartAgent(String name) {
        boolean announcementsStopped = mAgents.get(name).mAnnouncementsStopped;
        boolean leaving = mAgents.get(name).mLeaving;
        mAgents.get(name).mProcess.kill();
        Agent restarted = new Agent(name);
        restarted.mAnnouncementsStopped = announcementsStopped;
        restarted.mLeaving = leaving;
        mAgents.put(name, restarted);
        reachStep(MembershipStep.AGENT_RESTARTED);
    }

    private void takeOverPartition() {
        if (mEpoch == 1) {
            mEpoch = 2;
            mOwner = mEntries.get("entry2");
            reachStep(MembershipStep.OWNER_TAKEOVER);
        }
    }

    /**
     * An upstream joins under the present owner and is known to all; then the present owner reaches
     * no other entry for longer than a missing upstream is kept, and the former one sends its list.
     */
    private void checkFormerOwnerSnapshot() {
        Entry former = mEntries.get("entry1");
        former.mLatestRecords.keySet().removeIf(key -> key.agent().value().equals("agent4"));
        mOwnerIsolated = true;
        reachStep(MembershipStep.FORMER_OWNER_SNAPSHOT);
        mSimulation.runFor(ISOLATION_DURATION);
        Entry other = mEntries.get("entry3");
        if (other.mTable
                .get(mAgents.get("agent4").upstreamKey())
                .filter(r -> !r.state().gone())
                .isEmpty()) {
            mSimulation.recordViolation(
                    8, "a former owner's list removes agent4 from " + other.mName);
        }
        mOwnerIsolated = false;
    }

    private void announceLeaving(String name, boolean leaving) {
        Agent agent = mAgents.get(name);
        agent.mLeaving = leaving;
        agent.mProcess.execute(agent::announce);
        reachStep(leaving ? MembershipStep.LEAVING_ANNOUNCED : MembershipStep.BACK_ANNOUNCED);
        boolean faultFree = List.of(Fault.NONE).containsAll(mFaults);
        if (leaving && faultFree) {
            mSimulation.schedule(REACTION_LIMIT, () -> checkNotUsed(agent));
        }
    }

    private void checkNotUsed(Agent agent) {
        mEntries.values().stream()
                .filter(entry -> entry.isUsable(agent))
                .forEach(
                        entry ->
                                mSimulation.recordViolation(
                                        8, entry.mName + " still uses " + agent.mName));
    }

    CellOutcome run() {
        mSimulation.runFor(Duration.ofSeconds(4));
        mOccurrencesToSkip = 0;
        mScenarioStarted = true;
        List<Runnable> events = new ArrayList<>();
        events.add(() -> announceLeaving("agent1", true));
        events.add(this::takeOverPartition);
        events.add(() -> announceLeaving("agent2", true));
        events.add(() -> restartAgent("agent3"));
        events.add(() -> announceLeaving("agent1", false));
        events.add(
                () -> {
                    mAgents.get("agent3").mAnnouncementsStopped = true;
                    reachStep(MembershipStep.ANNOUNCEMENT_LAPSES);
                });
        for (Runnable event : events) {
            event.run();
            mSimulation.runFor(Duration.ofMillis(3_500 + mSimulation.random().nextInt(1_000)));
        }
        if (mStep == MembershipStep.FORMER_OWNER_SNAPSHOT) {
            mAgents.put("agent4", new Agent("agent4"));
            mSimulation.runFor(Duration.ofSeconds(8));
            checkFormerOwnerSnapshot();
        }
        mSimulation.runFor(Duration.ofSeconds(25));
        for (Agent agent : mAgents.values()) {
            agent.mDriver.expireAnnouncements();
            for (Entry entry : mEntries.values()) {
                if (entry.isUsable(agent) != agent.mDriver.hasSelectableUpstream()) {
                    mSimulation.recordViolation(
                            8, entry.mName + " has not learned the state of " + agent.mName);
                }
            }
        }
        return new CellOutcome(mFaultInjected, mSimulation);
    }
}
