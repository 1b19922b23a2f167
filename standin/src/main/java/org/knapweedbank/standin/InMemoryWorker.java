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
 * In-memory worker that simulates the execution of its tasks. The state of the tasks is brought up
 * to date on each call and by {@link #tick()}. The worker records the start and the end of each
 * attempt. Thread-safe.
 */
public final class InMemoryWorker implements Worker {
    private final WorkerEngine mEngine;
    private final WorkerFaults mFaults = new WorkerFaults();

    /**
     * Creates a worker without tasks.
     *
     * @param clock clock for run times and lease expiry
     * @param description VM of the worker and its capacity
     */
    public InMemoryWorker(Clock clock, WorkerDescription description) {
        mEngine = new WorkerEngine(clock, description);
    }

    /**
     * Returns the fault settings of the worker.
     *
     * @return the fault settings
     */
    public WorkerFaults faults() {
        return mFaults;
    }

    /**
     * Returns the last 100,000 starts and ends of attempts.
     *
     * @return the events in the order in which they were recorded
     */
    public List<ExecutionEvent> executions() {
        synchronized (mEngine) {
            mEngine.advance();
            return mEngine.events();
        }
    }

    /** Brings the state of the tasks up to date with the clock. */
    public void tick() {
        synchronized (mEngine) {
            mEngine.advance();
        }
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> start(TaskStart start) {
        return executeChange(() -> mEngine.start(start, mFaults.failsAllAttempts()));
    }

    @Override
    public Uni<WorkerResult<Integer>> renew(Duration ttl) {
        return executeChange(() -> new WorkerResult.Succeeded<>(mEngine.renew(ttl)));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> checkpoint(TaskId task, int attempt) {
        return executeChange(() -> mEngine.checkpoint(task, attempt));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> throttle(TaskId task, int attempt, double share) {
        return executeChange(() -> mEngine.throttle(task, attempt, share));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> stop(TaskId task, int attempt) {
        return executeChange(() -> mEngine.stop(task, attempt));
    }

    @Override
    public Uni<WorkerResult<List<TaskStatus>>> list() {
        return execute(true, () -> new WorkerResult.Succeeded<>(mEngine.list()));
    }

    @Override
    public Uni<WorkerResult<Boolean>> forget(TaskId task, int attempt) {
        return executeChange(() -> mEngine.forget(task, attempt));
    }

    @Override
    public Uni<WorkerResult<List<TaskUsage>>> usage() {
        return execute(true, () -> new WorkerResult.Succeeded<>(mEngine.usage()));
    }

    private <T> Uni<WorkerResult<T>> executeChange(Supplier<WorkerResult<T>> operation) {
        return execute(false, operation);
    }

    private <T> Uni<WorkerResult<T>> execute(boolean isQuery, Supplier<WorkerResult<T>> operation) {
        return Uni.createFrom().item(() -> executeNow(isQuery, operation));
    }

    private <T> WorkerResult<T> executeNow(boolean isQuery, Supplier<WorkerResult<T>> operation) {
        if (mFaults.isDown()) {
            return new WorkerResult.Unavailable<>("worker is down");
        }
        Optional<AnswerLoss> loss = mFaults.pollLoss();
        if (loss.isPresent() && loss.get() != AnswerLoss.AFTER_EFFECT) {
            return lostResponse(isQuery);
        }
        WorkerResult<T> result;
        synchronized (mEngine) {
            mEngine.advance();
            result = operation.get();
        }
        return loss.isPresent() ? lostResponse(isQuery) : result;
    }

    private static <T> WorkerResult<T> lostResponse(boolean isQuery) {
        return isQuery
                ? new WorkerResult.Unavailable<>("answer lost")
                : new WorkerResult.Unknown<>("answer lost");
    }
}
