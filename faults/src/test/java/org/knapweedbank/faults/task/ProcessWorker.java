package org.knapweedbank.faults.task;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.TaskUsage;
import org.knapweedbank.worker.Worker;
import org.knapweedbank.worker.WorkerResult;

/**
 * Gives a simulated process access to a worker. Results are deferred while the process is paused
 * and dropped once it is killed.
 */
record ProcessWorker(Worker worker, SimProcess process) implements Worker {
    /** Returns a call whose result is delivered by the process. */
    private <T> Uni<T> deliverThroughProcess(Uni<T> call) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                call.subscribe()
                                        .with(
                                                result ->
                                                        process.execute(
                                                                () -> emitter.complete(result))));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> start(TaskStart start) {
        return deliverThroughProcess(worker.start(start));
    }

    @Override
    public Uni<WorkerResult<Integer>> renew(Duration ttl) {
        return deliverThroughProcess(worker.renew(ttl));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> checkpoint(TaskId task, int attempt) {
        return deliverThroughProcess(worker.checkpoint(task, attempt));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> throttle(TaskId task, int attempt, double share) {
        return deliverThroughProcess(worker.throttle(task, attempt, share));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> stop(TaskId task, int attempt) {
        return deliverThroughProcess(worker.stop(task, attempt));
    }

    @Override
    public Uni<WorkerResult<List<TaskStatus>>> list() {
        return deliverThroughProcess(worker.list());
    }

    @Override
    public Uni<WorkerResult<Boolean>> forget(TaskId task, int attempt) {
        return deliverThroughProcess(worker.forget(task, attempt));
    }

    @Override
    public Uni<WorkerResult<List<TaskUsage>>> usage() {
        return deliverThroughProcess(worker.usage());
    }
}
