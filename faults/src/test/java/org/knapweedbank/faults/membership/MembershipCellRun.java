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
 * Runs one cell of the membership domain: three agents with an upstream each, and three entries, of
 * which the first owns the partition until the second takes it over.
 */
final class MembershipCellRun {
    /** Interval of heartbeats and of the expiry of table entries. */
    private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

    /** Time within which each entry has to stop using a leaving upstream if no fault occurs. */
    private static final Duration REACTION_LIMIT = Duration.ofSeconds(3);

    /** Longer than the time for which an entry keeps an upstream that the owner no longer lists. */
    private static final Duration ISOLATION_DURATION = Duration.ofSeconds(45);

    /** Step at which the faults are injected. */
    private final MembershipStep mStep;

    private final List<Fault> mFaults;

    /** Defect to run with, or null. */
    private final MembershipMutant mMutant;

    private final Simulation mSimulation;
    private final Map<String, Agent> mAgents = new LinkedHashMap<>();
    private final Map<String, Entry> mEntries = new LinkedHashMap<>();

    /** Current owner of the partition. */
    private Entry mOwner;

    /** Epoch of the current owner: 1 for the first entry, 2 for the second. */
    private long mEpoch = 1;

    /** Fault that affects the next messages. */
    private Fault mMessageFault = Fault.NONE;

    /** Number of messages that the message fault still affects. */
    private int mMessagesToAffect;

    /** Agent or entry whose messages are lost, or an empty string. */
    private String mCutProcess = "";

    /** Number of times that the step passes before the faults are injected. */
    private int mOccurrencesToSkip;

    /** Whether the step was reached and the faults have been injected. */
    private boolean mFaultInjected;

    /** Whether the initial announcements are known; steps before are not counted. */
    private boolean mScenarioStarted;

    /** Whether the current owner, the second entry, reaches no other entry. */
    private boolean mOwnerIsolated;

    /** One incarnation of an agent with its upstream. */
    private final class Agent {
        private final String mName;
        private final long mIncarnation = mSimulation.nowNanos();
        private final SimProcess mProcess;
        private final UpstreamTestDriver mDriver;

        /** Owner with which the agent has its session, or null. */
        private Entry mSessionOwner;

        /** Whether the upstream announces that it leaves. */
        private boolean mLeaving;

        /** Whether the upstream no longer announces itself. */
        private boolean mAnnouncementsStopped;

        /** Sequence number of the latest heartbeat in the session. */
        private long mHeartbeatSeq;

        private Agent(String name) {
            mName = name;
            mProcess = new SimProcess(mSimulation, name);
            mDriver = new UpstreamTestDriver(clock(0.9951));
            mProcess.scheduleRepeating(Duration.ofSeconds(2), this::announce);
            mProcess.scheduleRepeating(TICK_INTERVAL, this::sendHeartbeat);
            announce();
        }

        /** Renews the announcement of the upstream. */
        private void announce() {
            if (!mAnnouncementsStopped) {
                reachStep(MembershipStep.ANNOUNCED);
                mDriver.announce(mName + ":80", mLeaving);
            }
        }

        /** Sends the changed upstreams to the owner, in a new session if the owner has changed. */
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

        /** Returns the key of the upstream in the entries' tables. */
        private UpstreamKey upstreamKey() {
            return new UpstreamKey(new DaemonId(mName), "svc", mName + ":80");
        }

        /** Returns the record that the owner relays for a state of the upstream. */
        private UpstreamRecord record(UpstreamState state) {
            return new UpstreamRecord(
                    new DaemonId(mName), mIncarnation, new DataCentreId("a"), mName + ":1", state);
        }
    }

    /**
     * An entry with its upstream table. The owner of the partition relays the records of its
     * agents.
     */
    private final class Entry {
        private final String mName;
        private final SimProcess mProcess;
        private final UpstreamTable mTable;

        /** Record that the table last held for each upstream. */
        private final Map<UpstreamKey, UpstreamRecord> mLatestRecords = new HashMap<>();

        private Entry(String name) {
            mName = name;
            mProcess = new SimProcess(mSimulation, name);
            mTable = new UpstreamTable(clock(1.0049));
            mProcess.scheduleRepeating(TICK_INTERVAL, () -> mTable.expire());
            mProcess.scheduleRepeating(Duration.ofSeconds(5), this::sendSnapshot);
        }

        /** Acknowledges a heartbeat and relays its changes to all entries. */
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

        /**
         * Sends all known records if this entry is the owner, or a former owner that does not know
         * its successor.
         */
        private void sendSnapshot() {
            if (mOwner == this || mOwnerIsolated && isFormerOwner()) {
                sendDelta(List.copyOf(mLatestRecords.values()), true);
            }
        }

        /** Returns whether this entry was the owner and has been replaced. */
        private boolean isFormerOwner() {
            return mOwner != this && mName.equals("entry1");
        }

        /** Returns whether messages reach another entry. */
        private boolean canReach(Entry other) {
            return !mOwnerIsolated || this != mOwner && other != mOwner;
        }

        /** Applies a delta to the own table and sends it to all entries within reach. */
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

        /** Applies a delta to the table, altered if the mutant requires it. */
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

        /**
         * Records the state of an upstream in the table, and checks that it is not older than the
         * one before.
         */
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

        /** Returns whether the entry would send requests to the upstream of an agent. */
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

    /** Returns a clock that runs at a rate if the cell includes clock drift. */
    private Clock clock(double driftRate) {
        return mSimulation.clock(mFaults.contains(Fault.CLOCK_DRIFT) ? driftRate : 1, 0);
    }

    /** Injects the faults when the step of the cell is reached often enough. */
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

    /**
     * Schedules the delivery of a message, subject to the injected network and message faults.
     *
     * @param endpoint agent or entry whose network connection carries the message
     */
    private void transport(String endpoint, Runnable delivery) {
        if (mCutProcess.equals(endpoint)) {
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

    /** Returns one of the values at random. */
    private int pickRandom(int... values) {
        return values[mSimulation.random().nextInt(values.length)];
    }

    /**
     * Injects a fault into an entry or a random agent for a random time. Killing an entry makes the
     * second entry the owner, but no entry's process ends.
     */
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

    /** Replaces an agent by a new incarnation in the same state. */
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

    /** Makes the second entry the owner, unless it is. */
    private void takeOverPartition() {
        if (mEpoch == 1) {
            mEpoch = 2;
            mOwner = mEntries.get("entry2");
            reachStep(MembershipStep.OWNER_TAKEOVER);
        }
    }

    /**
     * Checks that the list of a former owner removes no upstream. An upstream that joined under the
     * current owner is known to all entries. Then the current owner reaches no other entry for
     * longer than a missing upstream is kept, and the former owner sends its list.
     */
    private void checkFormerOwnerSnapshot() {
        Entry formerOwner = mEntries.get("entry1");
        formerOwner.mLatestRecords.keySet().removeIf(key -> key.agent().value().equals("agent4"));
        mOwnerIsolated = true;
        reachStep(MembershipStep.FORMER_OWNER_SNAPSHOT);
        mSimulation.runFor(ISOLATION_DURATION);
        Entry other = mEntries.get("entry3");
        if (other.mTable
                .get(mAgents.get("agent4").upstreamKey())
                .filter(upstream -> !upstream.state().gone())
                .isEmpty()) {
            mSimulation.recordViolation(
                    8, "a former owner's list removes agent4 from " + other.mName);
        }
        mOwnerIsolated = false;
    }

    /** Announces that the upstream of an agent leaves or accepts requests again. */
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

    /** Checks that no entry sends new requests to the upstream of an agent. */
    private void checkNotUsed(Agent agent) {
        mEntries.values().stream()
                .filter(entry -> entry.isUsable(agent))
                .forEach(
                        entry ->
                                mSimulation.recordViolation(
                                        8, entry.mName + " still uses " + agent.mName));
    }

    /** Runs the cell to its end and checks that each entry knows the final states. */
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
