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

/** State of an {@link InMemoryWorker}. Not thread-safe; the worker synchronizes all calls. */
final class WorkerEngine {
    private static final int MAX_EVENTS = 100_000;
    private static final int MAX_FORGOTTEN_TASKS = 100_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Clock mClock;
    private final WorkerDescription mDescription;
    private final Map<AttemptKey, SimulatedTask> mTasks = new LinkedHashMap<>();
    private final Map<TaskId, Integer> mHighestForgottenAttempts = new LinkedHashMap<>();
    private final List<ExecutionEvent> mEvents = new ArrayList<>();
    private final Instant mWallTimeOrigin;
    private final long mMonotonicOriginNanos;

    /**
     * Identifies an attempt.
     *
     * @param task the task
     * @param number attempt number
     */
    private record AttemptKey(TaskId task, int number) {}

    WorkerEngine(Clock clock, WorkerDescription description) {
        mClock = clock;
        mDescription = description;
        mWallTimeOrigin = clock.wallTime();
        mMonotonicOriginNanos = clock.monotonicNanos();
    }

    /** Brings all attempts up to date with the clock and records those that have ended. */
    void advance() {
        long nowNanos = mClock.monotonicNanos();
        for (SimulatedTask task : mTasks.values()) {
            boolean wasEnded = task.ended();
            task.advance(nowNanos);
            if (!wasEnded && task.ended()) {
                recordEnd(task);
            }
        }
    }

    /**
     * Starts an attempt, unless it is known already or must be refused.
     *
     * @param failAtOnce true to let the attempt fail as soon as it has started
     */
    WorkerResult<TaskStatus> start(TaskStart request, boolean failAtOnce) {
        SimulatedTask existing = mTasks.get(new AttemptKey(request.task(), request.attempt()));
        if (existing != null) {
            return new WorkerResult.Succeeded<>(existing.status());
        }
        if (mHighestForgottenAttempts.getOrDefault(request.task(), 0) >= request.attempt()) {
            return new WorkerResult.Refused<>("the attempt has ended and was forgotten");
        }
        for (SimulatedTask other : mTasks.values()) {
            boolean isSameTask = other.startRequest().task().equals(request.task());
            if (isSameTask
                    && (!other.ended() || other.startRequest().attempt() > request.attempt())) {
                return new WorkerResult.Refused<>(
                        "attempt " + other.startRequest().attempt() + " of the task is known");
            }
        }
        if (!request.resources().isNonNegative()) {
            return new WorkerResult.Refused<>("resources are negative");
        }
        if (!request.resources().fitsIn(freeResources())) {
            return new WorkerResult.Refused<>("not enough capacity");
        }
        try {
            SimulatedCommand command = SimulatedCommand.parse(request.command());
            return addTask(
                    new SimulatedTask(request, command, mClock.monotonicNanos()), failAtOnce);
        } catch (BadRequestException e) {
            return new WorkerResult.Refused<>(e.getMessage());
        }
    }

    int renew(Duration ttl) {
        long nowNanos = mClock.monotonicNanos();
        List<SimulatedTask> running =
                mTasks.values().stream().filter(task -> !task.ended()).toList();
        running.forEach(task -> task.renewLease(nowNanos, ttl.toMillis()));
        return running.size();
    }

    WorkerResult<TaskStatus> checkpoint(TaskId task, int attempt) {
        SimulatedTask existing = mTasks.get(new AttemptKey(task, attempt));
        if (existing == null) {
            return refuseUnknownAttempt();
        }
        if (existing.state() == TaskState.RUNNING) {
            existing.startCheckpoint(mClock.monotonicNanos());
            advance();
        }
        return new WorkerResult.Succeeded<>(existing.status());
    }

    WorkerResult<TaskStatus> throttle(TaskId task, int attempt, double share) {
        SimulatedTask existing = mTasks.get(new AttemptKey(task, attempt));
        if (existing == null) {
            return refuseUnknownAttempt();
        }
        if (!(share > 0 && share <= 1)) {
            return new WorkerResult.Refused<>("share is not in (0, 1]: " + share);
        }
        existing.throttle(mClock.monotonicNanos(), share);
        return new WorkerResult.Succeeded<>(existing.status());
    }

    WorkerResult<TaskStatus> stop(TaskId task, int attempt) {
        SimulatedTask existing = mTasks.get(new AttemptKey(task, attempt));
        if (existing == null) {
            return refuseUnknownAttempt();
        }
        if (!existing.ended()) {
            existing.end(mClock.monotonicNanos(), TaskState.STOPPED, "");
            recordEnd(existing);
        }
        return new WorkerResult.Succeeded<>(existing.status());
    }

    WorkerResult<Boolean> forget(TaskId task, int attempt) {
        AttemptKey key = new AttemptKey(task, attempt);
        SimulatedTask existing = mTasks.get(key);
        if (existing == null) {
            return new WorkerResult.Succeeded<>(false);
        }
        if (!existing.ended()) {
            return new WorkerResult.Refused<>("the attempt has not ended");
        }
        mTasks.remove(key);
        mHighestForgottenAttempts.merge(task, attempt, Math::max);
        if (mHighestForgottenAttempts.size() > MAX_FORGOTTEN_TASKS) {
            mHighestForgottenAttempts.remove(mHighestForgottenAttempts.keySet().iterator().next());
        }
        return new WorkerResult.Succeeded<>(true);
    }

    List<TaskStatus> list() {
        return mTasks.values().stream().map(SimulatedTask::status).toList();
    }

    List<TaskUsage> usage() {
        long lagNanos = mDescription.usageLag().toNanos();
        long sampleNanos = mClock.monotonicNanos() - lagNanos;
        return mTasks.values().stream()
                .filter(task -> !task.ended() && task.startNanos() - sampleNanos <= 0)
                .map(task -> toUsage(task, sampleNanos, lagNanos / NANOS_PER_MILLI))
                .toList();
    }

    List<ExecutionEvent> events() {
        return List.copyOf(mEvents);
    }

    private WorkerResult<TaskStatus> addTask(SimulatedTask task, boolean failAtOnce) {
        TaskStart request = task.startRequest();
        mTasks.put(new AttemptKey(request.task(), request.attempt()), task);
        recordEvent("start", task, task.startNanos(), request.checkpoint());
        if (failAtOnce) {
            task.end(task.startNanos(), TaskState.FAILED, "the worker fails everything");
            recordEnd(task);
        }
        advance();
        return new WorkerResult.Succeeded<>(task.status());
    }

    private Resources freeResources() {
        return mTasks.values().stream()
                .filter(task -> !task.ended())
                .map(task -> task.startRequest().resources())
                .reduce(mDescription.capacity(), Resources::minus);
    }

    /** Returns the usage at a time. Only the CPU usage is simulated; the rest is as declared. */
    private static TaskUsage toUsage(SimulatedTask task, long sampleNanos, long ageMillis) {
        Resources declared = task.startRequest().resources();
        Resources used =
                new Resources(
                        Math.round(declared.milliCpu() * task.cpuUsageAt(sampleNanos)),
                        declared.memoryMb(),
                        declared.accelerators());
        return new TaskUsage(
                task.startRequest().task(), task.startRequest().attempt(), used, ageMillis);
    }

    private static <T> WorkerResult<T> refuseUnknownAttempt() {
        return new WorkerResult.Refused<>("the attempt is not known");
    }

    private void recordEnd(SimulatedTask task) {
        recordEvent("end", task, task.endNanos(), task.status().detail());
    }

    private void recordEvent(String kind, SimulatedTask task, long timeNanos, String detail) {
        if (mEvents.size() == MAX_EVENTS) {
            mEvents.removeFirst();
        }
        mEvents.add(
                new ExecutionEvent(
                        kind,
                        mWallTimeOrigin.plusNanos(timeNanos - mMonotonicOriginNanos).toEpochMilli(),
                        mDescription.vm(),
                        mDescription.dataCentre(),
                        task.startRequest().task(),
                        task.startRequest().attempt(),
                        task.state().name(),
                        task.progressMillis(),
                        detail));
    }
}
