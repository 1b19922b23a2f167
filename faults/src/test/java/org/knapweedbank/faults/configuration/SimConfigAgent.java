package org.knapweedbank.faults.configuration;

import java.time.Duration;
import java.util.List;
import org.knapweedbank.agent.ConfigStateTestDriver;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.faults.Simulation;

/**
 * One incarnation of an agent, which applies pushed configurations and reports its generation in
 * heartbeats.
 */
final class SimConfigAgent {
    /** Shortest time that a message takes in one direction. */
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(4);

    private final ConfigurationCellRun mCellRun;
    private final Simulation mSimulation;
    private final String mName;
    private final SimProcess mProcess;

    /** Configuration in force. */
    private ConfigStateTestDriver mState = new ConfigStateTestDriver();

    SimConfigAgent(ConfigurationCellRun cellRun, String name) {
        mCellRun = cellRun;
        mSimulation = cellRun.simulation();
        mName = name;
        mProcess = new SimProcess(mSimulation, name);
        mProcess.scheduleRepeating(Duration.ofSeconds(1), this::sendHeartbeat);
    }

    /** Returns the process that the agent runs in. */
    SimProcess process() {
        return mProcess;
    }

    /**
     * Sends a heartbeat to a random live entry, because an agent connects to another entry when its
     * own has ended.
     */
    private void sendHeartbeat() {
        long generation = mState.generation();
        List<SimConfigEntry> liveEntries =
                mCellRun.entries().stream().filter(entry -> entry.process().isAlive()).toList();
        SimConfigEntry entry = liveEntries.get(mSimulation.random().nextInt(liveEntries.size()));
        transport(
                false,
                () -> entry.process().execute(() -> entry.handleHeartbeat(this, generation)));
    }

    /** Sends a configuration from an entry to this agent. */
    void receivePush(SiteConfiguration pushed) {
        transport(true, () -> mProcess.execute(() -> applyPush(pushed)));
    }

    /** Applies a pushed configuration. */
    private void applyPush(SiteConfiguration pushed) {
        if (mCellRun.mutant() == ConfigurationMutant.OLDER_GENERATION_ACCEPTED) {
            mState = new ConfigStateTestDriver();
        }
        if (mState.apply(pushed.generation(), List.copyOf(pushed.dataCentresOutOfService()))) {
            mCellRun.recordGeneration(mName, mState.generation());
            mCellRun.reachStep(ConfigurationStep.IN_FORCE_AT_AGENT);
        }
    }

    /**
     * Schedules the delivery of a message, subject to the injected network and message faults.
     *
     * @param toAgent whether the message goes to the agent or comes from it
     */
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
