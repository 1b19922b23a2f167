package org.knapweedbank.standin;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.time.Clock;
import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.TaskUsage;
import org.knapweedbank.worker.Worker;
import org.knapweedbank.worker.WorkerResult;

/**
 * Worker in memory that simulates its tasks. Tasks advance on each call and on {@link #tick()}.
 * Each start and end is recorded. Thread-safe.
 */
public final class InMemoryWorker implements Worker {
    private final WorkerEngine mEngine;
    private final WorkerFaults mFaults = new WorkerFaults();

    /**
     * Creates an idle worker.
     *
     * @param clock measures run times and leases
     * @param description the VM
     */
    public InMemoryWorker(Clock clock, WorkerDescription description) {
        mEngine = new WorkerEngine(clock, description);
    }

    /**
     * The switch for the worker's faults.
     *
     * @return the switch
     */
    public WorkerFaults faults() {
        return mFaults;
    }

    /**
     * Starts and ends of attempts so far, oldest first; the last 100,000 are kept.
     *
     * @return the events
     */
    public List<ExecutionEvent> executions() {
        synchronized (mEngine) {
            mEngine.advance();
            return mEngine.events();
        }
    }

    /** Advances the tasks to the present time. */
    public void tick() {
        synchronized (mEngine) {
            mEngine.advance();
        }
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> start(TaskStart start) {
        return change(() -> mEngine.start(start, mFaults.failsEverything()));
    }

    @Override
    public Uni<WorkerResult<Integer>> renew(Duration ttl) {
        return change(() -> new WorkerResult.Succeeded<>(mEngine.renew(ttl)));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> checkpoint(TaskId task, int attempt) {
        return change(() -> mEngine.checkpoint(task, attempt));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> throttle(TaskId task, int attempt, double share) {
        return change(() -> mEngine.throttle(task, attempt, share));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> stop(TaskId task, int attempt) {
        return change(() -> mEngine.stop(task, attempt));
    }

    @Override
    public Uni<WorkerResult<List<TaskStatus>>> list() {
        return call(true, () -> new WorkerResult.Succeeded<>(mEngine.list()));
    }

    @Override
    public Uni<WorkerResult<Boolean>> forget(TaskId task, int attempt) {
        return change(() -> mEngine.forget(task, attempt));
    }

    @Override
    public Uni<WorkerResult<List<TaskUsage>>> usage() {
        return call(true, () -> new WorkerResult.Succeeded<>(mEngine.usage()));
    }

    private <T> Uni<WorkerResult<T>> change(Supplier<WorkerResult<T>> effect) {
        return call(false, effect);
    }

    private <T> Uni<WorkerResult<T>> call(boolean query, Supplier<WorkerResult<T>> effect) {
        return Uni.createFrom().item(() -> callNow(query, effect));
    }

    private <T> WorkerResult<T> callNow(boolean query, Supplier<WorkerResult<T>> effect) {
        if (mFaults.isDown()) {
            return new WorkerResult.Unavailable<>("worker is down");
        }
        Optional<AnswerLoss> loss = mFaults.takeLoss();
        if (loss.isPresent() && loss.get() != AnswerLoss.AFTER_EFFECT) {
            return lost(query);
        }
        WorkerResult<T> result;
        synchronized (mEngine) {
            mEngine.advance();
            result = effect.get();
        }
        return loss.isPresent() ? lost(query) : result;
    }

    private static <T> WorkerResult<T> lost(boolean query) {
        return query
                ? new WorkerResult.Unavailable<>("answer lost")
                : new WorkerResult.Unknown<>("answer lost");
    }
}
