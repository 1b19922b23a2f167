package org.knapweedbank.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.scheduling.SchedulingDecision;
import org.knapweedbank.scheduling.task.TaskEvent;
import org.knapweedbank.wire.StartPermit;
import org.knapweedbank.wire.StartTask;

/** Places tasks on VMs and sends their start commands with start permits. */
final class TaskStarter {
    private static final Logger LOG = LogManager.getLogger(TaskStarter.class);

    /**
     * Time without a connection to the VM after which a placement is withdrawn; this is safe,
     * because its start was not sent.
     */
    private static final long UNSENT_START_TIMEOUT_NANOS = 5_000_000_000L;

    private final PartitionContext mContext;
    private final AttemptControl mAttempts;

    /** Pending tasks that fit on no VM of the partition. */
    private final Map<TaskId, TaskEntry> mUnplaceableTasks = new LinkedHashMap<>();

    TaskStarter(PartitionContext context, AttemptControl attempts) {
        mContext = context;
        mAttempts = attempts;
    }

    /**
     * Schedules waiting tasks and sends the starts of placed tasks whose start permits can be
     * issued.
     */
    void schedule() {
        int limit = mContext.settings().decisionsPerStep();
        for (SchedulingDecision decision : mContext.scheduler().schedule(limit)) {
            switch (decision) {
                case SchedulingDecision.Place place -> place(place);
                case SchedulingDecision.Preempt preempt ->
                        mContext.state()
                                .task(preempt.victim())
                                .ifPresent(task -> mAttempts.checkpoint(task, "preempted"));
                case SchedulingDecision.NeverFits never -> recordUnplaceable(never);
            }
        }
        mAttempts.unsentStarts().forEach(this::sendStart);
    }

    private void place(SchedulingDecision.Place place) {
        TaskId id = place.task().id();
        TaskEntry task = mContext.state().task(id).orElse(null);
        boolean stillPending =
                task != null && task.isPending() && task.attempt() == place.task().attempt();
        if (!stillPending) {
            mContext.scheduler().release(id);
            return;
        }
        int attempt = task.attempt();
        boolean accepted =
                mContext.append(
                        new JournalRecord.TaskPlaced(id, attempt, place.vm(), place.reserved()),
                        () -> onPlacementCommitted(task, attempt));
        if (accepted) {
            task.setLastCommandNanos(mContext.nowNanos());
            mAttempts.addUnsentStart(task);
        } else {
            mContext.scheduler().release(id);
            mContext.scheduler().enqueue(place.task());
        }
    }

    private void onPlacementCommitted(TaskEntry task, int attempt) {
        if (task.isPlaced() && task.attempt() == attempt) {
            task.setPlacementCommitted(true);
            sendStart(task);
        }
    }

    /** Records why a task fits on no VM, so that it is retried after the VMs have changed. */
    private void recordUnplaceable(SchedulingDecision.NeverFits never) {
        mContext.state()
                .task(never.task().id())
                .filter(TaskEntry::isPending)
                .ifPresent(
                        task -> {
                            task.setDetail(never.reason());
                            mUnplaceableTasks.put(task.id(), task);
                            LOG.warn("[control] {} cannot run: {}", task.id(), never.reason());
                        });
    }

    /** Queues the tasks that fitted on no VM again, after the VMs of the partition have changed. */
    void retryUnplaceable() {
        List<TaskEntry> tasks = List.copyOf(mUnplaceableTasks.values());
        mUnplaceableTasks.clear();
        tasks.stream().filter(TaskEntry::isPending).forEach(mAttempts::enqueue);
    }

    void removeUnplaceable(TaskEntry task) {
        mUnplaceableTasks.remove(task.id());
    }

    /**
     * Sends the start of a placed attempt if the placement is committed, the VM is reachable and in
     * service, and the agent would accept the permit now.
     */
    private void sendStart(TaskEntry task) {
        if (!task.isPlaced() || !task.isPlacementCommitted()) {
            return;
        }
        VmSession session = mContext.connectedSession(task).orElse(null);
        if (session == null) {
            endIfOverdue(task);
        } else if (mContext.removedDataCentres().contains(session.dataCentre())) {
            mAttempts.end(task, AttemptEnd.NOT_STARTED, "the data centre is out of service");
        } else if (mContext.isViewFresh() && session.hasRecentHeartbeat(mContext.nowNanos())) {
            sendStart(session, task);
        }
    }

    /** Withdraws a placement whose VM has not been connected for too long. */
    private void endIfOverdue(TaskEntry task) {
        if (mContext.nowNanos() - task.lastCommandNanos() > UNSENT_START_TIMEOUT_NANOS) {
            mAttempts.end(task, AttemptEnd.NOT_STARTED, "the VM is not connected");
        }
    }

    private void sendStart(VmSession session, TaskEntry task) {
        mAttempts.removeUnsentStart(task);
        task.apply(new TaskEvent.StartSent(task.attempt()));
        task.setStartConnection(session.connection());
        JobSpec spec = task.job().spec();
        StartPermit permit =
                new StartPermit(
                        session.heartbeatSeq(),
                        mContext.viewAgeNanos() / 1_000_000,
                        mContext.configuration().generation());
        mContext.counters().startSent();
        StartTask start =
                new StartTask(
                        mContext.epoch(),
                        task.id(),
                        task.attempt(),
                        task.reserved(),
                        task.job().isService(),
                        spec.command(),
                        task.state().progress().checkpoint(),
                        permit);
        mAttempts.send(session, task, start);
    }
}
