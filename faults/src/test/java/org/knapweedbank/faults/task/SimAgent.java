package org.knapweedbank.faults.task;

import java.time.Duration;
import java.util.List;
import org.knapweedbank.agent.AgentSeam;
import org.knapweedbank.agent.AgentSettings;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;
import org.knapweedbank.time.Clock;

/** One incarnation of an agent beside its worker. */
final class SimAgent {
    private static final Duration STEP = Duration.ofMillis(100);

    private final TaskWorld mWorld;
    private final SimProcess mProcess;
    private final AgentSeam mSeam;
    private final String mVm;
    private final String mDataCentre;
    private SimLink mLink;

    SimAgent(TaskWorld world, String vm, String dataCentre, Clock clock, SimWorker worker) {
        mWorld = world;
        mVm = vm;
        mDataCentre = dataCentre;
        mProcess = new SimProcess(world.simulation(), vm);
        boolean unchecked = world.mutant() == TaskMutant.CAPACITY_CHECK_SKIPPED;
        Resources ledger = unchecked ? new Resources(1 << 20, 1 << 20, 64) : TaskWorld.VM;
        AgentSettings settings =
                new AgentSettings(
                        new DaemonId("agent-" + vm),
                        new VmId(vm),
                        "region",
                        new DataCentreId(dataCentre),
                        "rack-" + vm,
                        TaskWorld.VM,
                        "127.0.0.1",
                        1,
                        0,
                        List.of("entry1", "entry2"),
                        vm);
        mSeam =
                new AgentSeam(
                        settings,
                        ledger,
                        clock,
                        new ProcessWorker(worker, mProcess),
                        this::dial,
                        world.simulation().random().nextLong());
        mProcess.every(STEP, mSeam::step);
    }

    private void dial(String address, AgentSeam.LinkEvents events) {
        mLink = new SimLink(mWorld, this, address, events);
        mLink.connect();
    }

    SimProcess process() {
        return mProcess;
    }

    SimLink link() {
        return mLink;
    }

    String vm() {
        return mVm;
    }

    String dataCentre() {
        return mDataCentre;
    }

    long generation() {
        return mSeam.generation();
    }

    void kill() {
        mProcess.kill();
        if (mLink != null) {
            mLink.brokenByAgent();
        }
    }
}
