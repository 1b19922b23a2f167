package org.knapweedbank.node.entry;

import java.util.function.Consumer;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.node.agent.LeaseRenewalReply;
import org.knapweedbank.node.agent.LeaseRenewalRequest;
import org.knapweedbank.node.agent.StartReply;
import org.knapweedbank.node.agent.WorkerClient;

/** Calls of one agent process to its worker; once the process is killed, none is sent. */
final class ProcessWorkerClient implements WorkerClient {
    private final WorkerClient mWorker;
    private boolean mKilled;

    ProcessWorkerClient(WorkerClient worker) {
        mWorker = worker;
    }

    void kill() {
        mKilled = true;
    }

    @Override
    public void start(
            WorkerId worker,
            StartOrder order,
            long deadlineMillis,
            long term,
            Consumer<StartReply> done) {
        if (!mKilled) {
            mWorker.start(worker, order, deadlineMillis, term, done);
        }
    }

    @Override
    public void stop(WorkerId worker, TaskName task, long run, long term, Consumer<Boolean> done) {
        if (!mKilled) {
            mWorker.stop(worker, task, run, term, done);
        }
    }

    @Override
    public void renewLease(LeaseRenewalRequest request, Consumer<LeaseRenewalReply> done) {
        if (!mKilled) {
            mWorker.renewLease(request, done);
        }
    }

    @Override
    public void pace(
            WorkerId worker,
            TaskName task,
            long run,
            int percent,
            long term,
            Consumer<Boolean> done) {
        if (!mKilled) {
            mWorker.pace(worker, task, run, percent, term, done);
        }
    }
}
