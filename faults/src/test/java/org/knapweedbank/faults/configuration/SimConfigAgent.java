package org.knapweedbank.faults.configuration;

import java.time.Duration;
import java.util.List;
import org.knapweedbank.agent.ConfigStateTestDriver;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.faults.Simulation;

/** One incarnation of an agent: takes pushes, and reports its generation in heartbeats. */
final class SimConfigAgent {
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(4);

    private final ConfigurationCellRun mCellRun;
    private final Simulation mSimulation;
    private final String mName;
    private final SimProcess mProcess;
    private ConfigStateTestDriver mState = new ConfigStateTestDriver();

    SimConfigAgent(ConfigurationCellRun cellRun, String name) {
        mCellRun = cellRun;
        mSimulation = cellRun.simulation();
        mName = name;
        mProcess = new SimProcess(mSimulation, name);
        mProcess.scheduleRepeating(Duration.ofSeconds(1), this::sendHeartbeat);
    }

    SimProcess process() {
        return mProcess;
    }

    /** Sends to any entry that lives, as the connection moves when one is gone. */
    private void sendHeartbeat() {
        long generation = mState.generation();
        List<SimConfigEntry> liveEntries =
                mCellRun.entries().stream().filter(entry -> entry.process().isAlive()).toList();
        SimConfigEntry entry = liveEntries.get(mSimulation.random().nextInt(liveEntries.size()));
        transport(
                false,
                () -> entry.process().execute(() -> entry.handleHeartbeat(this, generation)));
    }

    void receivePush(SiteConfiguration pushed) {
        transport(true, () -> mProcess.execute(() -> applyPush(pushed)));
    }

    private void applyPush(SiteConfiguration pushed) {
        if (mCellRun.mutant() == ConfigurationMutant.OLDER_GENERATION_ACCEPTED) {
            mState = new ConfigStateTestDriver();
        }
        if (mState.apply(pushed.generation(), List.copyOf(pushed.removed()))) {
            mCellRun.recordGeneration(mName, mState.generation());
            mCellRun.reachStep(ConfigurationStep.IN_FORCE_AT_AGENT);
        }
    }

    private void transport(boolean toAgent, Runnable delivery) {
        if (mCellRun.isPathCut(mName, toAgent)) {
            return;
        }
        Duration delay = ONE_WAY_DELAY.plusNanos(mSimulation.random().nextInt(1_000_000));
        switch (mCellRun.nextMessageFault()) {
            case MESSAGE_LOST -> {
                return;
            }
            case MESSAGE_LATE, MESSAGES_REORDERED ->
                    delay = Duration.ofMillis(500 + mSimulation.random().nextInt(6_000));
            case MESSAGE_DOUBLED ->
                    mSimulation.schedule(
                            Duration.ofMillis(100 + mSimulation.random().nextInt(6_000)), delivery);
            default -> {}
        }
        mSimulation.schedule(delay, delivery);
    }
}
