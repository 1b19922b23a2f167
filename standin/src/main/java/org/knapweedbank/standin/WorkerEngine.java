package org.knapweedbank.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.time.Clock;
import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskState;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.TaskUsage;
import org.knapweedbank.worker.WorkerResult;

/** State of the worker stand-in. Not thread-safe; the owner synchronizes. */
final class WorkerEngine {
    private static final int MAX_EVENTS = 100_000;
    private static final int MAX_FORGOTTEN = 100_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Clock mClock;
    private final WorkerDescription mDescription;
    private final Map<Attempt, SimulatedTask> mTasks = new LinkedHashMap<>();
    private final Map<TaskId, Integer> mForgotten = new LinkedHashMap<>();
    private final List<ExecutionEvent> mEvents = new ArrayList<>();
    private final Instant mWallOrigin;
    private final long mNanosOrigin;

    private record Attempt(TaskId task, int number) {}

    WorkerEngine(Clock clock, WorkerDescription description) {
        mClock = clock;
        mDescription = description;
        mWallOrigin = clock.wallTime();
        mNanosOrigin = clock.monotonicNanos();
    }

    void advance() {
        long now = mClock.monotonicNanos();
        for (SimulatedTask task : mTasks.values()) {
            boolean before = task.ended();
            task.advance(now);
            if (!before && task.ended()) {
                recordEnd(task);
            }
        }
    }

    WorkerResult<TaskStatus> start(TaskStart start, boolean fail) {
        SimulatedTask known = mTasks.get(new Attempt(start.task(), start.attempt()));
        if (known != null) {
            return new WorkerResult.Succeeded<>(known.status());
        }
        if (mForgotten.getOrDefault(start.task(), 0) >= start.attempt()) {
            return new WorkerResult.Refused<>("the attempt has ended and was forgotten");
        }
        for (SimulatedTask other : mTasks.values()) {
            boolean sameTask = other.start().task().equals(start.task());
            if (sameTask && (!other.ended() || other.start().attempt() > start.attempt())) {
                return new WorkerResult.Refused<>(
                        "attempt " + other.start().attempt() + " of the task is known");
            }
        }
        if (!start.resources().isNonNegative()) {
            return new WorkerResult.Refused<>("resources are negative");
        }
        if (!start.resources().fitsIn(free())) {
            return new WorkerResult.Refused<>("not enough capacity");
        }
        try {
            SimulatedCommand command = SimulatedCommand.parse(start.command());
            return started(new SimulatedTask(start, command, mClock.monotonicNanos()), fail);
        } catch (BadRequestException e) {
            return new WorkerResult.Refused<>(e.getMessage());
        }
    }

    int renew(Duration ttl) {
        long now = mClock.monotonicNanos();
        List<SimulatedTask> live = mTasks.values().stream().filter(t -> !t.ended()).toList();
        live.forEach(task -> task.extendLease(now, ttl.toMillis()));
        return live.size();
    }

    WorkerResult<TaskStatus> checkpoint(TaskId task, int attempt) {
        SimulatedTask known = mTasks.get(new Attempt(task, attempt));
        if (known == null) {
            return notKnown();
        }
        if (known.state() == TaskState.RUNNING) {
            known.checkpoint(mClock.monotonicNanos());
            advance();
        }
        return new WorkerResult.Succeeded<>(known.status());
    }

    WorkerResult<TaskStatus> throttle(TaskId task, int attempt, double share) {
        SimulatedTask known = mTasks.get(new Attempt(task, attempt));
        if (known == null) {
            return notKnown();
        }
        if (!(share > 0 && share <= 1)) {
            return new WorkerResult.Refused<>("share is not in (0, 1]: " + share);
        }
        known.throttle(mClock.monotonicNanos(), share);
        return new WorkerResult.Succeeded<>(known.status());
    }

    WorkerResult<TaskStatus> stop(TaskId task, int attempt) {
        SimulatedTask known = mTasks.get(new Attempt(task, attempt));
        if (known == null) {
            return notKnown();
        }
        if (!known.ended()) {
            known.stop(mClock.monotonicNanos(), TaskState.STOPPED, "");
            recordEnd(known);
        }
        return new WorkerResult.Succeeded<>(known.status());
    }

    WorkerResult<Boolean> forget(TaskId task, int attempt) {
        Attempt key = new Attempt(task, attempt);
        SimulatedTask known = mTasks.get(key);
        if (known == null) {
            return new WorkerResult.Succeeded<>(false);
        }
        if (!known.ended()) {
            return new WorkerResult.Refused<>("the attempt has not ended");
        }
        mTasks.remove(key);
        mForgotten.merge(task, attempt, Math::max);
        if (mForgotten.size() > MAX_FORGOTTEN) {
            mForgotten.remove(mForgotten.keySet().iterator().next());
        }
        return new WorkerResult.Succeeded<>(true);
    }

    List<TaskStatus> list() {
        return mTasks.values().stream().map(SimulatedTask::status).toList();
    }

    List<TaskUsage> usage() {
        long lag = mDescription.usageLag().toNanos();
        long moment = mClock.monotonicNanos() - lag;
        return mTasks.values().stream()
                .filter(task -> !task.ended() && task.startedAt() - moment <= 0)
                .map(task -> sample(task, moment, lag / NANOS_PER_MILLI))
                .toList();
    }

    List<ExecutionEvent> events() {
        return List.copyOf(mEvents);
    }

    private WorkerResult<TaskStatus> started(SimulatedTask task, boolean fail) {
        TaskStart start = task.start();
        mTasks.put(new Attempt(start.task(), start.attempt()), task);
        record("start", task, task.startedAt(), start.checkpoint());
        if (fail) {
            task.stop(task.startedAt(), TaskState.FAILED, "the worker fails everything");
            recordEnd(task);
        }
        advance();
        return new WorkerResult.Succeeded<>(task.status());
    }

    private Resources free() {
        return mTasks.values().stream()
                .filter(task -> !task.ended())
                .map(task -> task.start().resources())
                .reduce(mDescription.capacity(), Resources::minus);
    }

    private static TaskUsage sample(SimulatedTask task, long moment, long ageMillis) {
        Resources declared = task.start().resources();
        Resources used =
                new Resources(
                        Math.round(declared.milliCpu() * task.usageAt(moment)),
                        declared.memoryMb(),
                        declared.accelerators());
        return new TaskUsage(task.start().task(), task.start().attempt(), used, ageMillis);
    }

    private static <T> WorkerResult<T> notKnown() {
        return new WorkerResult.Refused<>("the attempt is not known");
    }

    private void recordEnd(SimulatedTask task) {
        record("end", task, task.endedAt(), task.status().detail());
    }

    private void record(String kind, SimulatedTask task, long nanos, String detail) {
        if (mEvents.size() == MAX_EVENTS) {
            mEvents.removeFirst();
        }
        mEvents.add(
                new ExecutionEvent(
                        kind,
                        mWallOrigin.plusNanos(nanos - mNanosOrigin).toEpochMilli(),
                        mDescription.vm(),
                        mDescription.dataCentre(),
                        task.start().task(),
                        task.start().attempt(),
                        task.state().name(),
                        task.progressMillis(),
                        detail));
    }
}
