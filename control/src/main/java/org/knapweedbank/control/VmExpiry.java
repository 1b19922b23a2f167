package org.knapweedbank.control;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.worker.TaskStatus;

/** Ends the attempts on VMs whose leases have expired. */
final class VmExpiry {
    private static final Logger LOG = LogManager.getLogger(VmExpiry.class);

    /**
     * Number of unanswered calls to the worker of an expired VM, one second apart, after which the
     * worker is considered gone.
     */
    private static final int MAX_WORKER_CALLS = 3;

    private final PartitionContext mContext;
    private final AttemptControl mAttempts;

    VmExpiry(PartitionContext context, AttemptControl attempts) {
        mContext = context;
        mAttempts = attempts;
    }

    /**
     * Handles a VM whose leases have all ended. The worker may know of attempts that ended after
     * the agent failed, so it is queried before the attempts are recorded as lost: a task that has
     * finished must not run again.
     */
    void expire(VmSession session) {
        String worker = mContext.state().workerAddress(session.vm());
        if (worker.isEmpty() || mContext.state().tasksOn(session.vm()).isEmpty()) {
            endAttempts(session, List.of());
        } else if (!session.isWorkerQueryPending()) {
            session.setWorkerQueryPending(true);
            mContext.listWorker(worker, answer -> handleWorkerAnswer(session, answer));
        }
    }

    /**
     * Ends the attempts on the VM according to the worker's answer. If the worker gives no answer
     * or still runs a batch task of this partition, it is queried again at the next check.
     */
    private void handleWorkerAnswer(VmSession session, Optional<List<TaskStatus>> answer) {
        boolean current =
                mContext.sessions().get(session.vm()) == session && session.isWorkerQueryPending();
        if (!current || mContext.nowNanos() <= session.expiresAtNanos()) {
            return;
        }
        session.setWorkerQueryPending(false);
        if (answer.isEmpty()) {
            if (session.countWorkerFailure() >= MAX_WORKER_CALLS) {
                endAttempts(session, List.of());
            }
            return;
        }
        boolean running =
                answer.get().stream()
                        .anyMatch(status -> !status.state().ended() && isBatch(status.task()));
        if (!running) {
            endAttempts(session, answer.get());
        }
    }

    /** Returns true if the identifier denotes a batch task of this partition. */
    private boolean isBatch(TaskId id) {
        return mContext.state().task(id).filter(task -> !task.job().isService()).isPresent();
    }

    /**
     * Ends the attempts on an expired VM as its worker reports them, or as lost if the worker does
     * not list them, and removes the VM. Service replicas are replaced instead.
     */
    private void endAttempts(VmSession session, List<TaskStatus> statuses) {
        LOG.warn("[control] the leases of {} have expired", session.vm());
        mContext.counters().vmExpired();
        if (session.isConnected()) {
            session.connection().close("the session has expired");
            session.disconnect();
        }
        mContext.scheduler().removeVm(session.vm());
        mContext.state().tasksOn(session.vm()).stream()
                .sorted(Comparator.comparing(TaskEntry::id))
                .forEach(task -> endAttempt(task, statuses));
        if (mContext.state().tasksOn(session.vm()).stream().anyMatch(VmExpiry::isUnfinished)) {
            // The journal was full; the remaining attempts are ended at the next check.
            return;
        }
        mContext.sessions().remove(session.vm());
        if (!mContext.state().workerAddress(session.vm()).isEmpty()) {
            mContext.append(new JournalRecord.VmForgotten(session.vm()), () -> {});
        }
    }

    /** Returns true if the attempt of a task is still to be ended or replaced. */
    private static boolean isUnfinished(TaskEntry task) {
        return !task.job().isService() || !task.isCancelling();
    }

    private static AttemptEnd toAttemptEnd(TaskStatus status) {
        return switch (status.state()) {
            case FINISHED -> AttemptEnd.FINISHED;
            case FAILED -> AttemptEnd.FAILED;
            case CHECKPOINTED -> AttemptEnd.CHECKPOINTED;
            default -> AttemptEnd.LOST;
        };
    }

    private void endAttempt(TaskEntry task, List<TaskStatus> statuses) {
        if (!task.job().isService()) {
            Optional<TaskStatus> status =
                    statuses.stream()
                            .filter(candidate -> candidate.task().equals(task.id()))
                            .filter(candidate -> candidate.attempt() == task.attempt())
                            .findFirst();
            mAttempts.end(
                    task,
                    status.map(VmExpiry::toAttemptEnd).orElse(AttemptEnd.LOST),
                    status.map(TaskStatus::detail).orElse("the leases of the VM have expired"));
        } else if (!task.isCancelling()) {
            mAttempts.replace(task);
        }
    }
}
