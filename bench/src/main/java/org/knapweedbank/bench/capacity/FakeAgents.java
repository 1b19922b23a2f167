package org.knapweedbank.bench.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.control.AgentControlConnection;
import org.knapweedbank.control.PartitionController;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.wire.FrameCodec;
import org.knapweedbank.wire.FrameException;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.TaskDigest;
import org.knapweedbank.wire.TaskHeld;
import org.knapweedbank.wire.TaskReport;
import org.knapweedbank.wire.TaskReportState;

/**
 * Agents of a partition without I/O, which start every task that they are told to start and count
 * the bytes of all messages.
 */
final class FakeAgents {
    static final Resources VM_CAPACITY = new Resources(64_000, 250_000, 2);

    private final FrameCodec mCodec = new FrameCodec();
    private final Map<VmId, Agent> mAgents = new LinkedHashMap<>();

    /** Start commands that have not been reported as running. */
    private final Deque<StartTask> mUnreportedStarts = new ArrayDeque<>();

    /** VMs of {@link #mUnreportedStarts}, in the same order. */
    private final Deque<VmId> mUnreportedStartVms = new ArrayDeque<>();

    private long mBytesToAgents;
    private long mBytesToOwner;

    /** One agent with the attempts that it holds. */
    private final class Agent implements AgentControlConnection {
        private final VmId mVm;
        private final String mDataCentre;
        private final Map<TaskId, TaskHeld> mHeldAttempts = new LinkedHashMap<>();
        private long mHeartbeatSequence;

        private Agent(VmId vm, String dataCentre) {
            mVm = vm;
            mDataCentre = dataCentre;
        }

        @Override
        public DaemonId agent() {
            return new DaemonId(mVm.value());
        }

        @Override
        public long incarnation() {
            return 1;
        }

        @Override
        public DataCentreId dataCentre() {
            return new DataCentreId(mDataCentre);
        }

        @Override
        public void send(Message message) {
            mBytesToAgents += encodedBytes(message);
            if (message instanceof StartTask start) {
                mHeldAttempts.put(
                        start.task(),
                        new TaskHeld(
                                start.task(),
                                start.attempt(),
                                start.resources(),
                                TaskReportState.RUNNING,
                                ""));
                mUnreportedStarts.add(start);
                mUnreportedStartVms.add(mVm);
            }
        }

        @Override
        public void onSessionGranted(int partition, long epoch) {}

        @Override
        public void close(String reason) {}
    }

    /** Returns the size of a message in bytes, as it would be sent. */
    int encodedBytes(Message message) {
        try {
            return mCodec.encode(message, FrameCodec.MAX_VERSION).length();
        } catch (FrameException e) {
            throw new IllegalStateException(
                    "cannot encode a message of the benchmark to count its bytes", e);
        }
    }

    /**
     * Opens a session for an agent on each VM.
     *
     * @param controller owner of the partition
     * @param vms number of VMs
     */
    void connect(PartitionController controller, int vms) {
        for (int i = 0; i < vms; i++) {
            VmId vm = new VmId("vm-" + i);
            Agent agent = new Agent(vm, "dc-" + i % 5);
            mAgents.put(vm, agent);
            controller.open(agent, createSessionOpen(agent, i));
        }
    }

    private static SessionOpen createSessionOpen(Agent agent, int index) {
        return new SessionOpen(
                agent.mVm,
                "rack-" + index / 3,
                "region",
                VM_CAPACITY,
                "10.0.0.1:7000",
                1,
                List.copyOf(agent.mHeldAttempts.values()),
                "10.0.0.1:7001");
    }

    /** Opens sessions of all agents with a new owner, which include the attempts that they hold. */
    void reconnect(PartitionController controller) {
        int index = 0;
        for (Agent agent : mAgents.values()) {
            agent.mHeartbeatSequence = 0;
            controller.open(agent, createSessionOpen(agent, index++));
        }
    }

    /** Sends a heartbeat of every agent. */
    void sendHeartbeats(PartitionController controller, long epoch) {
        for (Agent agent : mAgents.values()) {
            agent.mHeartbeatSequence++;
            long digest = TaskDigest.of(agent.mHeldAttempts.values());
            Heartbeat heartbeat =
                    new Heartbeat(agent.mHeartbeatSequence, epoch, digest, 1, List.of(), List.of());
            mBytesToOwner += encodedBytes(heartbeat);
            controller.heartbeat(agent.mVm, heartbeat);
        }
    }

    /** Reports all attempts started since the last call as running; returns their number. */
    int reportRunning(PartitionController controller, long epoch) {
        int count = mUnreportedStarts.size();
        List<StartTask> starts = new ArrayList<>(mUnreportedStarts);
        List<VmId> vms = new ArrayList<>(mUnreportedStartVms);
        mUnreportedStarts.clear();
        mUnreportedStartVms.clear();
        for (int i = 0; i < count; i++) {
            report(controller, vms.get(i), starts.get(i), epoch, TaskReportState.RUNNING);
        }
        return count;
    }

    /**
     * Reports attempts as finished, VM by VM.
     *
     * @param controller owner of the partition
     * @param epoch epoch of the owner
     * @param limit maximum number of attempts
     * @return number of finished attempts
     */
    int finishAttempts(PartitionController controller, long epoch, int limit) {
        int count = 0;
        for (Agent agent : mAgents.values()) {
            for (TaskHeld held : List.copyOf(agent.mHeldAttempts.values())) {
                if (count >= limit) {
                    return count;
                }
                agent.mHeldAttempts.remove(held.task());
                TaskReport report =
                        new TaskReport(
                                epoch, held.task(), held.attempt(), TaskReportState.FINISHED, "");
                mBytesToOwner += encodedBytes(report);
                controller.report(agent.mVm, report);
                count++;
            }
        }
        return count;
    }

    private void report(
            PartitionController controller,
            VmId vm,
            StartTask start,
            long epoch,
            TaskReportState state) {
        TaskReport report = new TaskReport(epoch, start.task(), start.attempt(), state, "");
        mBytesToOwner += encodedBytes(report);
        controller.report(vm, report);
    }

    /** Returns the size of all messages from the owner to the agents. */
    long bytesToAgents() {
        return mBytesToAgents;
    }

    /** Returns the size of all heartbeats and reports to the owner. */
    long bytesToOwner() {
        return mBytesToOwner;
    }
}
