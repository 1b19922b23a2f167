package org.knapweedbank.control;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.worker.TaskStatus;

/** Ends the attempts of VMs whose leases have expired. */
final class VmExpiry {
    private static final Logger LOG = LogManager.getLogger(VmExpiry.class);

    /** Calls to the worker of an expired VM, a second apart, before it is taken for gone. */
    private static final int WORKER_CALLS = 3;

    private final PartitionContext mContext;
    private final AttemptControl mAttempts;

    VmExpiry(PartitionContext context, AttemptControl attempts) {
        mContext = context;
        mAttempts = attempts;
    }

    /**
     * All leases of the VM have ended. Its worker may know of attempts that ended after the agent
     * was gone, so it is asked before they are taken for lost: a task that has finished must not
     * run again.
     */
    void expire(VmSession session) {
        String worker = mContext.state().workerAddress(session.vm());
        if (worker.isEmpty() || mContext.state().tasksOn(session.vm()).isEmpty()) {
            expire(session, List.of());
        } else if (!session.isWorkerAsked()) {
            session.setWorkerAsked(true);
            mContext.listWorker(worker, answer -> expire(session, answer));
        }
    }

    private void expire(VmSession session, Optional<List<TaskStatus>> answer) {
        boolean current =
                mContext.sessions().get(session.vm()) == session && session.isWorkerAsked();
        if (!current || mContext.nowNanos() <= session.expiresAtNanos()) {
            return;
        }
        session.setWorkerAsked(false);
        if (answer.isEmpty()) {
            if (session.countWorkerFailure() >= WORKER_CALLS) {
                expire(session, List.of());
            }
            return;
        }
        boolean running =
                answer.get().stream()
                        .anyMatch(status -> !status.state().ended() && isBatch(status.task()));
        if (!running) {
            expire(session, answer.get());
        }
    }

    private boolean isBatch(TaskId id) {
        return mContext.state().task(id).filter(task -> !task.job().isService()).isPresent();
    }

    /** Ends the attempts of a VM, as its worker reports them or as lost. */
    private void expire(VmSession session, List<TaskStatus> known) {
        LOG.warn("[control] the leases of {} have expired", session.vm());
        mContext.counters().vmExpired();
        if (session.isConnected()) {
            session.connection().close("the session has expired");
            session.disconnect();
        }
        mContext.scheduler().removeVm(session.vm());
        mContext.state().tasksOn(session.vm()).stream()
                .sorted(Comparator.comparing(TaskEntry::id))
                .forEach(task -> expireTask(task, known));
        if (mContext.state().tasksOn(session.vm()).stream().anyMatch(VmExpiry::isUnfinished)) {
            // The journal was full; the rest is ended at the next check.
            return;
        }
        mContext.sessions().remove(session.vm());
        if (!mContext.state().workerAddress(session.vm()).isEmpty()) {
            mContext.append(new JournalRecord.VmForgotten(session.vm()), () -> {});
        }
    }

    private static boolean isUnfinished(TaskEntry task) {
        return !task.job().isService() || !task.isCancelling();
    }

    private static AttemptEnd endOf(TaskStatus status) {
        return switch (status.state()) {
            case FINISHED -> AttemptEnd.FINISHED;
            case FAILED -> AttemptEnd.FAILED;
            case CHECKPOINTED -> AttemptEnd.CHECKPOINTED;
            default -> AttemptEnd.LOST;
        };
    }

    private void expireTask(TaskEntry task, List<TaskStatus> known) {
        if (!task.job().isService()) {
            Optional<TaskStatus> status =
                    known.stream()
                            .filter(candidate -> candidate.task().equals(task.id()))
                            .filter(candidate -> candidate.attempt() == task.attempt())
                            .findFirst();
            mAttempts.end(
                    task,
                    status.map(VmExpiry::endOf).orElse(AttemptEnd.LOST),
                    status.map(TaskStatus::detail).orElse("the leases of the VM have expired"));
        } else if (!task.isCancelling()) {
            mAttempts.replace(task);
        }
    }
}
