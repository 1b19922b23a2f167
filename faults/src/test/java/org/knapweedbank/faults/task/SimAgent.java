package org.knapweedbank.faults.task;

import java.time.Duration;
import java.util.List;
import org.knapweedbank.agent.AgentSettings;
import org.knapweedbank.agent.AgentTestDriver;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;
import org.knapweedbank.time.Clock;

/** One incarnation of an agent, which controls the worker of its VM. */
final class SimAgent {
    /** Interval of the steps of the agent's duties. */
    private static final Duration STEP_INTERVAL = Duration.ofMillis(100);

    private final TaskCellRun mCellRun;
    private final SimProcess mProcess;
    private final AgentTestDriver mDriver;
    private final String mVm;
    private final String mDataCentre;

    /** Latest control connection, which may be closed; null before the first one. */
    private SimLink mLink;

    SimAgent(TaskCellRun cellRun, String vm, String dataCentre, Clock clock, SimWorker worker) {
        mCellRun = cellRun;
        mVm = vm;
        mDataCentre = dataCentre;
        mProcess = new SimProcess(cellRun.simulation(), vm);
        boolean skipsCapacityCheck = cellRun.mutant() == TaskMutant.CAPACITY_CHECK_SKIPPED;
        Resources ledgerCapacity =
                skipsCapacityCheck ? new Resources(1 << 20, 1 << 20, 64) : TaskCellRun.VM_CAPACITY;
        AgentSettings settings =
                new AgentSettings(
                        new DaemonId("agent-" + vm),
                        new VmId(vm),
                        "region",
                        new DataCentreId(dataCentre),
                        "rack-" + vm,
                        TaskCellRun.VM_CAPACITY,
                        "127.0.0.1",
                        1,
                        0,
                        List.of("entry1", "entry2"),
                        vm);
        mDriver =
                new AgentTestDriver(
                        settings,
                        ledgerCapacity,
                        clock,
                        new ProcessWorker(worker, mProcess),
                        this::connect,
                        cellRun.simulation().random().nextLong());
        mProcess.scheduleRepeating(STEP_INTERVAL, mDriver::step);
    }

    /** Opens a control connection to an entry. */
    private void connect(String address, AgentTestDriver.LinkEvents events) {
        mLink = new SimLink(mCellRun, this, address, events);
        mLink.connect();
    }

    /** Returns the process that the agent runs in. */
    SimProcess process() {
        return mProcess;
    }

    /** Returns the latest control connection, which may be closed, or null. */
    SimLink link() {
        return mLink;
    }

    /** Returns the name of the VM. */
    String vm() {
        return mVm;
    }

    /** Returns the name of the VM's data centre. */
    String dataCentre() {
        return mDataCentre;
    }

    /** Returns the configuration generation in force at the agent. */
    long generation() {
        return mDriver.generation();
    }

    /** Ends the incarnation and its control connection. */
    void kill() {
        mProcess.kill();
        if (mLink != null) {
            mLink.closeByAgent();
        }
    }
}
