package org.knapweedbank.faults.configuration;

import java.time.Duration;
import java.util.List;
import org.knapweedbank.agent.ConfigSeam;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.faults.Simulation;

/** One incarnation of an agent: takes pushes, and reports its generation in heartbeats. */
final class SimConfigAgent {
    private static final Duration DELAY = Duration.ofMillis(4);

    private final ConfigurationWorld mWorld;
    private final Simulation mSimulation;
    private final String mName;
    private final SimProcess mProcess;
    private ConfigSeam mState = new ConfigSeam();

    SimConfigAgent(ConfigurationWorld world, String name) {
        mWorld = world;
        mSimulation = world.simulation();
        mName = name;
        mProcess = new SimProcess(mSimulation, name);
        mProcess.every(Duration.ofSeconds(1), this::heartbeat);
    }

    SimProcess process() {
        return mProcess;
    }

    /** Sends to any entry that lives, as the connection moves when one is gone. */
    private void heartbeat() {
        long generation = mState.generation();
        List<SimConfigEntry> living =
                mWorld.entries().stream().filter(entry -> entry.process().alive()).toList();
        SimConfigEntry entry = living.get(mSimulation.random().nextInt(living.size()));
        transport(false, () -> entry.process().execute(() -> entry.heartbeat(this, generation)));
    }

    void send(SiteConfiguration pushed) {
        transport(true, () -> mProcess.execute(() -> received(pushed)));
    }

    private void received(SiteConfiguration pushed) {
        if (mWorld.mutant() == ConfigurationMutant.OLDER_GENERATION_ACCEPTED) {
            mState = new ConfigSeam();
        }
        if (mState.apply(pushed.generation(), List.copyOf(pushed.removed()))) {
            mWorld.inForce(mName, mState.generation());
            mWorld.step(ConfigurationStep.IN_FORCE_AT_AGENT);
        }
    }

    private void transport(boolean toAgent, Runnable delivery) {
        if (mWorld.isCut(mName, toAgent)) {
            return;
        }
        Duration delay = DELAY.plusNanos(mSimulation.random().nextInt(1_000_000));
        switch (mWorld.takeMessageFault()) {
            case MESSAGE_LOST -> {
                return;
            }
            case MESSAGE_LATE, MESSAGES_REORDERED ->
                    delay = Duration.ofMillis(500 + mSimulation.random().nextInt(6_000));
            case MESSAGE_DOUBLED ->
                    mSimulation.after(
                            Duration.ofMillis(100 + mSimulation.random().nextInt(6_000)), delivery);
            default -> {}
        }
        mSimulation.after(delay, delivery);
    }
}
