package org.knapweedbank.faults.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedbank.agent.UpstreamSeam;
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
final class MembershipWorld {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration BOUND = Duration.ofSeconds(3);

    /** Longer than an entry keeps an upstream that the owner no longer lists. */
    private static final Duration APART = Duration.ofSeconds(45);

    private final MembershipStep mStep;
    private final List<Fault> mFaults;
    private final MembershipMutant mMutant;
    private final Simulation mSimulation;
    private final Map<String, Agent> mAgents = new LinkedHashMap<>();
    private final Map<String, Entry> mEntries = new LinkedHashMap<>();
    private Entry mOwner;
    private long mEpoch = 1;
    private Fault mMessageFault = Fault.NONE;
    private int mMessages;
    private String mCut = "";
    private int mFireAt;
    private boolean mFired;
    private boolean mStarted;

    /** Whether the second entry, the present owner, reaches no other entry. */
    private boolean mOwnerApart;

    /** One incarnation of an agent. */
    private final class Agent {
        private final String mName;
        private final long mIncarnation = mSimulation.now();
        private final SimProcess mProcess;
        private final UpstreamSeam mSeam;
        private Entry mSession;
        private boolean mLeaving;
        private boolean mSilent;
        private long mSeq;

        private Agent(String name) {
            mName = name;
            mProcess = new SimProcess(mSimulation, name);
            mSeam = new UpstreamSeam(clock(0.9951));
            mProcess.every(Duration.ofSeconds(2), this::announce);
            mProcess.every(SECOND, this::heartbeat);
            announce();
        }

        private void announce() {
            if (!mSilent) {
                step(MembershipStep.ANNOUNCED);
                mSeam.announce(mName + ":80", mLeaving);
            }
        }

        private void heartbeat() {
            mSeam.expire();
            if (mSession != mOwner) {
                mSession = mOwner;
                mSeq = 0;
                mSeam.sessionOpened();
            }
            long seq = ++mSeq;
            List<UpstreamState> states = mSeam.take(seq);
            if (mMutant == MembershipMutant.CHANGE_NOT_REPEATED) {
                mSeam.acknowledged(seq);
            }
            step(MembershipStep.HEARTBEAT_SENT);
            Entry owner = mSession;
            transport(
                    mName, () -> owner.mProcess.execute(() -> owner.heartbeat(this, seq, states)));
        }

        private UpstreamKey key() {
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
        private final Map<UpstreamKey, UpstreamRecord> mNewest = new HashMap<>();

        private Entry(String name) {
            mName = name;
            mProcess = new SimProcess(mSimulation, name);
            mTable = new UpstreamTable(clock(1.0049));
            mProcess.every(SECOND, () -> mTable.expire());
            mProcess.every(Duration.ofSeconds(5), this::sendSnapshot);
        }

        private void heartbeat(Agent agent, long seq, List<UpstreamState> states) {
            transport(
                    agent.mName,
                    () ->
                            agent.mProcess.execute(
                                    () -> {
                                        step(MembershipStep.HEARTBEAT_ACKNOWLEDGED);
                                        if (agent.mSession == this) {
                                            agent.mSeam.acknowledged(seq);
                                        }
                                    }));
            if (!states.isEmpty()) {
                send(states.stream().map(agent::record).toList(), false);
            }
        }

        private void sendSnapshot() {
            if (mOwner == this || mOwnerApart && deposed()) {
                send(List.copyOf(mNewest.values()), true);
            }
        }

        private boolean deposed() {
            return mOwner != this && mName.equals("entry1");
        }

        private boolean reaches(Entry other) {
            return !mOwnerApart || this != mOwner && other != mOwner;
        }

        private void send(List<UpstreamRecord> records, boolean snapshot) {
            long epoch = mOwner == this ? mEpoch : 1;
            UpstreamDelta delta = new UpstreamDelta(0, epoch, snapshot, records);
            step(MembershipStep.DELTA_SENT);
            for (Entry other : mEntries.values()) {
                if (other == this) {
                    apply(delta);
                } else if (reaches(other)) {
                    transport(other.mName, () -> other.mProcess.execute(() -> other.apply(delta)));
                }
            }
        }

        private void apply(UpstreamDelta delta) {
            boolean reset = mMutant == MembershipMutant.OLDER_RECORD_ACCEPTED;
            UpstreamTable table = reset ? new UpstreamTable(clock(1)) : mTable;
            long epoch = mMutant == MembershipMutant.FORMER_OWNER_ACCEPTED ? 1_000 : delta.epoch();
            table.apply(
                    new UpstreamDelta(delta.partition(), epoch, delta.snapshot(), delta.records()));
            for (UpstreamRecord record : delta.records()) {
                table.get(UpstreamKey.of(record)).ifPresent(this::seen);
            }
        }

        private void seen(UpstreamRecord record) {
            step(MembershipStep.ENTRY_LEARNS);
            UpstreamRecord before = mNewest.put(UpstreamKey.of(record), record);
            boolean back =
                    before != null
                            && (record.incarnation() < before.incarnation()
                                    || record.incarnation() == before.incarnation()
                                            && record.state().seq() < before.state().seq());
            if (back) {
                mSimulation.violate(8, mName + " goes back from " + before + " to " + record);
            }
        }

        private boolean usable(Agent agent) {
            Optional<UpstreamRecord> record = Optional.ofNullable(mNewest.get(agent.key()));
            return record.map(UpstreamRecord::state)
                    .filter(state -> !state.leaving() && !state.gone())
                    .isPresent();
        }
    }

    MembershipWorld(MembershipStep step, List<Fault> faults, long seed, MembershipMutant mutant) {
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
        mFireAt = mSimulation.random().nextInt(3);
    }

    private Clock clock(double drifting) {
        return mSimulation.clock(mFaults.contains(Fault.CLOCK_DRIFT) ? drifting : 1, 0);
    }

    private void step(MembershipStep step) {
        if (!mStarted || step != mStep || mFired || mFireAt-- > 0) {
            return;
        }
        mFired = true;
        for (Fault fault : mFaults) {
            mSimulation.trace("FAULT", fault + " at " + step);
            apply(fault);
        }
    }

    private void transport(String path, Runnable delivery) {
        if (mCut.equals(path)) {
            return;
        }
        Duration delay = Duration.ofNanos(4_000_000 + mSimulation.random().nextInt(1_000_000));
        if (mMessages > 0) {
            mMessages--;
            switch (mMessageFault) {
                case MESSAGE_LOST -> {
                    return;
                }
                case MESSAGE_DOUBLED ->
                        mSimulation.after(
                                Duration.ofMillis(100 + mSimulation.random().nextInt(6_000)),
                                delivery);
                default -> delay = Duration.ofMillis(200 + mSimulation.random().nextInt(6_000));
            }
        }
        mSimulation.after(delay, delivery);
    }

    private int pick(int... values) {
        return values[mSimulation.random().nextInt(values.length)];
    }

    private void apply(Fault fault) {
        String agent = "agent" + (1 + mSimulation.random().nextInt(3));
        boolean atEntry = mSimulation.random().nextBoolean();
        Duration outage = Duration.ofMillis(pick(500, 2_000, 8_000));
        switch (fault) {
            case PROCESS_KILLED -> {
                if (atEntry) {
                    takeOver();
                } else {
                    restart(agent);
                }
            }
            case PROCESS_PAUSED ->
                    (atEntry ? mOwner.mProcess : mAgents.get(agent).mProcess).pause(outage);
            case MESSAGE_LOST, MESSAGE_DOUBLED, MESSAGE_LATE, MESSAGES_REORDERED -> {
                mMessageFault = fault;
                mMessages = pick(1, 4, 12);
            }
            case NETWORK_CUT_ONE_WAY, NETWORK_CUT -> {
                mCut = atEntry ? "entry3" : agent;
                mSimulation.after(outage, () -> mCut = "");
            }
            case VM_GONE, WORKER_FAILS_EVERYTHING -> mAgents.get(agent).mSilent = true;
            default -> {}
        }
    }

    private void restart(String name) {
        boolean silent = mAgents.get(name).mSilent;
        boolean leaving = mAgents.get(name).mLeaving;
        mAgents.get(name).mProcess.kill();
        Agent fresh = new Agent(name);
        fresh.mSilent = silent;
        fresh.mLeaving = leaving;
        mAgents.put(name, fresh);
        step(MembershipStep.AGENT_RESTARTED);
    }

    private void takeOver() {
        if (mEpoch == 1) {
            mEpoch = 2;
            mOwner = mEntries.get("entry2");
            step(MembershipStep.OWNER_TAKEOVER);
        }
    }

    /**
     * An upstream joins under the present owner and is known to all; then the present owner reaches
     * no other entry for longer than a missing upstream is kept, and the former one sends its list.
     */
    private void formerOwnerSends() {
        Entry former = mEntries.get("entry1");
        former.mNewest.keySet().removeIf(key -> key.agent().value().equals("agent4"));
        mOwnerApart = true;
        step(MembershipStep.FORMER_OWNER_SNAPSHOT);
        mSimulation.run(APART);
        Entry other = mEntries.get("entry3");
        if (other.mTable
                .get(mAgents.get("agent4").key())
                .filter(r -> !r.state().gone())
                .isEmpty()) {
            mSimulation.violate(8, "a former owner's list removes agent4 from " + other.mName);
        }
        mOwnerApart = false;
    }

    private void leaving(String name, boolean leaving) {
        Agent agent = mAgents.get(name);
        agent.mLeaving = leaving;
        agent.mProcess.execute(agent::announce);
        step(leaving ? MembershipStep.LEAVING_ANNOUNCED : MembershipStep.BACK_ANNOUNCED);
        boolean harmless = List.of(Fault.NONE).containsAll(mFaults);
        if (leaving && harmless) {
            mSimulation.after(BOUND, () -> checkLeft(agent));
        }
    }

    private void checkLeft(Agent agent) {
        mEntries.values().stream()
                .filter(entry -> entry.usable(agent))
                .forEach(
                        entry ->
                                mSimulation.violate(8, entry.mName + " still uses " + agent.mName));
    }

    CellOutcome run() {
        mSimulation.run(Duration.ofSeconds(4));
        mFireAt = 0;
        mStarted = true;
        List<Runnable> events = new ArrayList<>();
        events.add(() -> leaving("agent1", true));
        events.add(this::takeOver);
        events.add(() -> leaving("agent2", true));
        events.add(() -> restart("agent3"));
        events.add(() -> leaving("agent1", false));
        events.add(
                () -> {
                    mAgents.get("agent3").mSilent = true;
                    step(MembershipStep.ANNOUNCEMENT_LAPSES);
                });
        for (Runnable event : events) {
            event.run();
            mSimulation.run(Duration.ofMillis(3_500 + mSimulation.random().nextInt(1_000)));
        }
        if (mStep == MembershipStep.FORMER_OWNER_SNAPSHOT) {
            mAgents.put("agent4", new Agent("agent4"));
            mSimulation.run(Duration.ofSeconds(8));
            formerOwnerSends();
        }
        mSimulation.run(Duration.ofSeconds(25));
        for (Agent agent : mAgents.values()) {
            agent.mSeam.expire();
            for (Entry entry : mEntries.values()) {
                if (entry.usable(agent) != agent.mSeam.accepts()) {
                    mSimulation.violate(
                            8, entry.mName + " has not learned the state of " + agent.mName);
                }
            }
        }
        return new CellOutcome(mFired, mSimulation);
    }
}
