package org.knapweedbank.agent;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskState;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.TaskUsage;
import org.knapweedbank.worker.Worker;
import org.knapweedbank.worker.WorkerResult;

/** In-memory worker whose calls can fail in each of the ways of {@link WorkerResult}. */
final class FakeWorker implements Worker {
    /** Outcome of calls to the worker, except {@code list}. */
    enum Mode {
        SUCCEEDS,
        REFUSES,
        UNAVAILABLE,
        /** The call takes effect and its answer is lost. */
        LOSES_ANSWER,
        /** The call is lost, so it has no effect and no answer. */
        LOSES_CALL
    }

    final Map<AttemptId, TaskStatus> mTasks = new LinkedHashMap<>();
    final List<AttemptId> mStartedAttempts = new ArrayList<>();
    final List<String> mCommandCalls = new ArrayList<>();
    Mode mMode = Mode.SUCCEEDS;
    int mRenewalCount;

    void setTask(AttemptId id, TaskState state, String detail) {
        mTasks.put(
                id,
                new TaskStatus(
                        id.task(), id.attempt(), new Resources(1000, 100, 0), state, detail));
    }

    long runningCount() {
        return mTasks.values().stream().filter(s -> !s.state().ended()).count();
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> start(TaskStart start) {
        AttemptId id = new AttemptId(start.task(), start.attempt());
        return answer(
                () -> {
                    if (!mTasks.containsKey(id)) {
                        mStartedAttempts.add(id);
                        setTask(id, TaskState.RUNNING, "");
                    }
                    return mTasks.get(id);
                });
    }

    @Override
    public Uni<WorkerResult<Integer>> renew(Duration ttl) {
        return answer(
                () -> {
                    mRenewalCount++;
                    return mTasks.size();
                });
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> checkpoint(TaskId task, int attempt) {
        return end("checkpoint", new AttemptId(task, attempt), TaskState.CHECKPOINTED, "ckpt");
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> throttle(TaskId task, int attempt, double share) {
        mCommandCalls.add("throttle " + share);
        return answer(() -> mTasks.get(new AttemptId(task, attempt)));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> stop(TaskId task, int attempt) {
        return end("stop", new AttemptId(task, attempt), TaskState.STOPPED, "");
    }

    @Override
    public Uni<WorkerResult<List<TaskStatus>>> list() {
        List<TaskStatus> tasks = List.copyOf(mTasks.values());
        return Uni.createFrom().item(new WorkerResult.Succeeded<>(tasks));
    }

    @Override
    public Uni<WorkerResult<Boolean>> forget(TaskId task, int attempt) {
        mCommandCalls.add("forget");
        return answer(() -> mTasks.remove(new AttemptId(task, attempt)) != null);
    }

    @Override
    public Uni<WorkerResult<List<TaskUsage>>> usage() {
        return answer(
                () ->
                        mTasks.values().stream()
                                .map(s -> new TaskUsage(s.task(), s.attempt(), s.resources(), 1500))
                                .toList());
    }

    private Uni<WorkerResult<TaskStatus>> end(
            String call, AttemptId id, TaskState state, String detail) {
        mCommandCalls.add(call + " " + id);
        return answer(
                () -> {
                    if (mTasks.containsKey(id) && !mTasks.get(id).state().ended()) {
                        setTask(id, state, detail);
                    }
                    return mTasks.get(id);
                });
    }

    private <T> Uni<WorkerResult<T>> answer(Supplier<T> effect) {
        return Uni.createFrom()
                .item(
                        () ->
                                switch (mMode) {
                                    case SUCCEEDS -> new WorkerResult.Succeeded<>(effect.get());
                                    case REFUSES -> new WorkerResult.Refused<>("worker is full");
                                    case UNAVAILABLE ->
                                            new WorkerResult.Unavailable<>("no connection");
                                    case LOSES_CALL -> new WorkerResult.Unknown<>("no answer");
                                    case LOSES_ANSWER -> {
                                        effect.get();
                                        yield new WorkerResult.Unknown<>("no answer");
                                    }
                                });
    }
}
