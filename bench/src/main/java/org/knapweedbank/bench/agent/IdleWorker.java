package org.knapweedbank.bench.agent;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskState;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.TaskUsage;
import org.knapweedbank.worker.Worker;
import org.knapweedbank.worker.WorkerResult;

/** Worker whose fixed set of tasks is always running; it refuses all commands. */
final class IdleWorker implements Worker {
    private static final Resources TASK_RESOURCES = new Resources(1000, 2048, 0);

    private final List<TaskStatus> mTasks;

    IdleWorker(int tasks) {
        mTasks =
                IntStream.range(0, tasks)
                        .mapToObj(
                                i ->
                                        new TaskStatus(
                                                new TaskId(new JobId("rebalance-2026"), i),
                                                1,
                                                TASK_RESOURCES,
                                                TaskState.RUNNING,
                                                ""))
                        .toList();
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> start(TaskStart start) {
        return refuseCommand();
    }

    @Override
    public Uni<WorkerResult<Integer>> renew(Duration ttl) {
        return Uni.createFrom().item(new WorkerResult.Succeeded<>(mTasks.size()));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> checkpoint(TaskId task, int attempt) {
        return refuseCommand();
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> throttle(TaskId task, int attempt, double share) {
        return refuseCommand();
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> stop(TaskId task, int attempt) {
        return refuseCommand();
    }

    @Override
    public Uni<WorkerResult<List<TaskStatus>>> list() {
        return Uni.createFrom().item(new WorkerResult.Succeeded<>(mTasks));
    }

    @Override
    public Uni<WorkerResult<Boolean>> forget(TaskId task, int attempt) {
        return refuseCommand();
    }

    @Override
    public Uni<WorkerResult<List<TaskUsage>>> usage() {
        List<TaskUsage> usage =
                mTasks.stream()
                        .map(t -> new TaskUsage(t.task(), t.attempt(), t.resources(), 1500))
                        .toList();
        return Uni.createFrom().item(new WorkerResult.Succeeded<>(usage));
    }

    private static <T> Uni<WorkerResult<T>> refuseCommand() {
        return Uni.createFrom()
                .item(new WorkerResult.Refused<>("the benchmark worker accepts no commands"));
    }
}
