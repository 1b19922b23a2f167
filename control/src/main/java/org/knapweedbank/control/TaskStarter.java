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

/** Places tasks and sends their starts with a permit. */
final class TaskStarter {
    private static final Logger LOG = LogManager.getLogger(TaskStarter.class);

    /** A placement whose VM stays unreachable this long is given up, as no start was sent. */
    private static final long UNSENT_LIMIT_NANOS = 5_000_000_000L;

    private final PartitionContext mContext;
    private final AttemptControl mAttempts;
    private final Map<TaskId, TaskEntry> mUnplaceable = new LinkedHashMap<>();

    TaskStarter(PartitionContext context, AttemptControl attempts) {
        mContext = context;
        mAttempts = attempts;
    }

    /** Makes decisions about waiting tasks, and sends the starts that may be sent. */
    void schedule() {
        int limit = mContext.settings().decisionsPerStep();
        for (SchedulingDecision decision : mContext.scheduler().schedule(limit)) {
            switch (decision) {
                case SchedulingDecision.Place place -> place(place);
                case SchedulingDecision.Preempt preempt ->
                        mContext.state()
                                .task(preempt.victim())
                                .ifPresent(task -> mAttempts.checkpoint(task, "preempted"));
                case SchedulingDecision.NeverFits never -> neverFits(never);
            }
        }
        mAttempts.unsent().forEach(this::sendStart);
    }

    private void place(SchedulingDecision.Place place) {
        TaskId id = place.task().id();
        TaskEntry task = mContext.state().task(id).orElse(null);
        boolean wanted =
                task != null && task.isPending() && task.attempt() == place.task().attempt();
        if (!wanted) {
            mContext.scheduler().release(id);
            return;
        }
        int attempt = task.attempt();
        boolean taken =
                mContext.append(
                        new JournalRecord.TaskPlaced(id, attempt, place.vm(), place.reserved()),
                        () -> placementCommitted(task, attempt));
        if (taken) {
            task.setCommandNanos(mContext.nowNanos());
            mAttempts.addUnsent(task);
        } else {
            mContext.scheduler().release(id);
            mContext.scheduler().enqueue(place.task());
        }
    }

    private void placementCommitted(TaskEntry task, int attempt) {
        if (task.isPlaced() && task.attempt() == attempt) {
            task.setPlacementCommitted(true);
            sendStart(task);
        }
    }

    private void neverFits(SchedulingDecision.NeverFits never) {
        mContext.state()
                .task(never.task().id())
                .filter(TaskEntry::isPending)
                .ifPresent(
                        task -> {
                            task.setDetail(never.reason());
                            mUnplaceable.put(task.id(), task);
                            LOG.warn("[control] {} cannot run: {}", task.id(), never.reason());
                        });
    }

    /** Tries tasks again that fitted no VM, after the VMs have changed. */
    void retryUnplaceable() {
        List<TaskEntry> tasks = List.copyOf(mUnplaceable.values());
        mUnplaceable.clear();
        tasks.stream().filter(TaskEntry::isPending).forEach(mAttempts::enqueue);
    }

    void forget(TaskEntry task) {
        mUnplaceable.remove(task.id());
    }

    /** Sends the start of a placed attempt if its permit would be accepted now. */
    private void sendStart(TaskEntry task) {
        if (!task.isPlaced() || !task.isPlacementCommitted()) {
            return;
        }
        VmSession session = mContext.connectedSession(task).orElse(null);
        if (session == null) {
            withdrawIfOverdue(task);
        } else if (mContext.removedDataCentres().contains(session.dataCentre())) {
            mAttempts.end(task, AttemptEnd.NOT_STARTED, "the data centre is out of service");
        } else if (mContext.isViewFresh() && session.isHeard(mContext.nowNanos())) {
            sendStart(session, task);
        }
    }

    private void withdrawIfOverdue(TaskEntry task) {
        if (mContext.nowNanos() - task.commandNanos() > UNSENT_LIMIT_NANOS) {
            mAttempts.end(task, AttemptEnd.NOT_STARTED, "the VM is not connected");
        }
    }

    private void sendStart(VmSession session, TaskEntry task) {
        mAttempts.removeUnsent(task);
        task.apply(new TaskEvent.StartSent(task.attempt()));
        task.setStartedOn(session.connection());
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
