package org.knapweedbank.faults.task;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.time.Clock;
import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskState;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.TaskUsage;
import org.knapweedbank.worker.Worker;
import org.knapweedbank.worker.WorkerResult;

/**
 * Worker that records each execution. It obeys every start, also beyond its capacity, so that the
 * record shows what the system asked for.
 */
final class SimWorker implements Worker {
    private static final Duration CHECKPOINT = Duration.ofSeconds(2);
    private static final Duration TICK = Duration.ofMillis(100);

    private final TaskWorld mWorld;
    private final Simulation mSimulation;
    private final String mVm;
    private final Clock mClock;
    private final Resources mCapacity;
    private final List<Execution> mHeld = new ArrayList<>();
    private Duration mWork = Duration.ofSeconds(15);
    private boolean mFailing;
    private boolean mGone;
    private int mLostAnswers;
    private int mLostCalls;

    SimWorker(TaskWorld world, String vm, Clock clock, Resources capacity) {
        mWorld = world;
        mSimulation = world.simulation();
        mVm = vm;
        mClock = clock;
        mCapacity = capacity;
        mSimulation.after(TICK, this::tick);
    }

    void work(Duration work) {
        mWork = work;
    }

    void failing(boolean failing) {
        mFailing = failing;
    }

    void loseAnswers(int count) {
        mLostAnswers = count;
    }

    void loseCalls(int count) {
        mLostCalls = count;
    }

    /** Ends the VM with everything that runs on it. */
    void vanish() {
        mGone = true;
        mHeld.forEach(held -> end(held, TaskState.EXPIRED, "VM gone"));
        mHeld.clear();
    }

    boolean gone() {
        return mGone;
    }

    private void tick() {
        if (mGone) {
            return;
        }
        long now = mClock.monotonicNanos();
        for (Execution held : mHeld) {
            boolean worked = mSimulation.now() - held.mStartNanos >= mWork.toNanos();
            if (held.ended()) {
                continue;
            } else if (now >= held.mLeaseEndNanos) {
                end(held, TaskState.EXPIRED, "lease");
            } else if (now >= held.mCheckpointNanos) {
                end(held, TaskState.CHECKPOINTED, "ckpt-" + held.mTask + "#" + held.mAttempt);
            } else if (mFailing) {
                end(held, TaskState.FAILED, "exit status 1");
            } else if (worked && !TaskWorld.isService(held.mTask)) {
                end(held, TaskState.FINISHED, "");
            }
        }
        mSimulation.after(TICK, this::tick);
    }

    private void end(Execution held, TaskState state, String detail) {
        if (!held.ended()) {
            held.mState = state;
            held.mDetail = detail;
            held.mEndNanos = mSimulation.now();
            mSimulation.trace(mVm, held + " " + detail);
        }
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> start(TaskStart start) {
        return call(
                () -> {
                    Execution held = find(start.task(), start.attempt());
                    if (held == null) {
                        held =
                                new Execution(
                                        start.task(),
                                        start.attempt(),
                                        mVm,
                                        start.resources(),
                                        start.checkpoint(),
                                        mSimulation.now());
                        held.mLeaseEndNanos =
                                mClock.monotonicNanos() + start.leaseMillis() * 1_000_000;
                        mHeld.add(held);
                        mWorld.started(held, used(), mCapacity);
                    }
                    return new WorkerResult.Succeeded<>(status(held));
                });
    }

    private Resources used() {
        return mHeld.stream()
                .filter(held -> !held.ended())
                .map(held -> held.mResources)
                .reduce(Resources.NONE, Resources::plus);
    }

    @Override
    public Uni<WorkerResult<Integer>> renew(Duration ttl) {
        return call(
                () -> {
                    mHeld.forEach(
                            held -> held.mLeaseEndNanos = mClock.monotonicNanos() + ttl.toNanos());
                    return new WorkerResult.Succeeded<>(mHeld.size());
                });
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> checkpoint(TaskId task, int attempt) {
        return change(
                task,
                attempt,
                held -> {
                    if (held.mState == TaskState.RUNNING) {
                        held.mState = TaskState.CHECKPOINTING;
                        held.mCheckpointNanos = mClock.monotonicNanos() + CHECKPOINT.toNanos();
                        mWorld.step(TaskStep.CHECKPOINTING, mVm);
                    }
                });
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> throttle(TaskId task, int attempt, double share) {
        return change(task, attempt, held -> {});
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> stop(TaskId task, int attempt) {
        return change(task, attempt, held -> end(held, TaskState.STOPPED, ""));
    }

    @Override
    public Uni<WorkerResult<List<TaskStatus>>> list() {
        return call(() -> new WorkerResult.Succeeded<>(mHeld.stream().map(this::status).toList()));
    }

    @Override
    public Uni<WorkerResult<Boolean>> forget(TaskId task, int attempt) {
        return call(
                () -> {
                    Execution held = find(task, attempt);
                    boolean known = held != null && held.ended();
                    if (known) {
                        mHeld.remove(held);
                    }
                    return new WorkerResult.Succeeded<>(known);
                });
    }

    @Override
    public Uni<WorkerResult<List<TaskUsage>>> usage() {
        return call(() -> new WorkerResult.Succeeded<>(List.of()));
    }

    private Uni<WorkerResult<TaskStatus>> change(
            TaskId task, int attempt, java.util.function.Consumer<Execution> change) {
        return call(
                () -> {
                    Execution held = find(task, attempt);
                    if (held == null) {
                        return new WorkerResult.Refused<>("unknown attempt");
                    }
                    change.accept(held);
                    return new WorkerResult.Succeeded<>(status(held));
                });
    }

    private Execution find(TaskId task, int attempt) {
        return mHeld.stream()
                .filter(held -> held.mTask.equals(task) && held.mAttempt == attempt)
                .findFirst()
                .orElse(null);
    }

    private TaskStatus status(Execution held) {
        return new TaskStatus(
                held.mTask, held.mAttempt, held.mResources, held.mState, held.mDetail);
    }

    /** A call takes effect after 1 to 3 ms; a lost answer shows as unknown after 2 s. */
    private <T> Uni<WorkerResult<T>> call(Supplier<WorkerResult<T>> effect) {
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            if (mGone) {
                                mSimulation.after(
                                        Duration.ofSeconds(2),
                                        () ->
                                                emitter.complete(
                                                        new WorkerResult.Unavailable<>(
                                                                "no connection")));
                                return;
                            }
                            boolean callLost = mLostCalls > 0 && mLostCalls-- > 0;
                            boolean answerLost =
                                    !callLost && mLostAnswers > 0 && mLostAnswers-- > 0;
                            long delay = 1 + mSimulation.random().nextInt(3);
                            mSimulation.after(
                                    Duration.ofMillis(delay),
                                    () -> {
                                        WorkerResult<T> result =
                                                callLost || mGone ? null : effect.get();
                                        if (result == null || answerLost) {
                                            mSimulation.after(
                                                    Duration.ofSeconds(2),
                                                    () ->
                                                            emitter.complete(
                                                                    new WorkerResult.Unknown<>(
                                                                            "no answer")));
                                        } else {
                                            emitter.complete(result);
                                        }
                                    });
                        });
    }
}
