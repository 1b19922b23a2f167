package org.knapweedbank.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedbank.time.Clock;

/**
 * Events of all workers in their order. Finds, while they come in, tasks that run twice: at the
 * same time, or after an end as done that is acknowledged before or later. An acknowledgement
 * counts unless the worker's lease has expired since the end.
 */
final class RunHistory {
    private static final String DONE = "done";

    private final Clock mClock;
    private final long mStartMillis;
    private final long mStartWallMillis;
    private final List<RunEvent> mEvents = new ArrayList<>();
    private final List<Violation> mViolations = new ArrayList<>();

    /** Starts without an end, by the name of the task. */
    private final Map<String, List<RunEvent>> mRunning = new HashMap<>();

    /** Ends as done since which no lease has expired, by the name of the task. */
    private final Map<String, List<Done>> mDone = new HashMap<>();

    /** First acknowledged end as done, by the name of the task. */
    private final Map<String, RunEvent> mAcknowledged = new HashMap<>();

    /** Starts of each task. */
    private final Map<String, List<RunEvent>> mStarts = new HashMap<>();

    private final Set<String> mStartedJobs = new HashSet<>();

    /** End as done, and the number of starts of the task before it. */
    private record Done(RunEvent end, int startCount) {}

    RunHistory(Clock clock) {
        mClock = clock;
        mStartMillis = clock.monotonicMillis();
        mStartWallMillis = clock.wallTime().toEpochMilli();
    }

    /** Returns the time since the start of the deployment. */
    long nowMillis() {
        return mClock.monotonicMillis() - mStartMillis;
    }

    /** Returns the wall time of an event in Unix milliseconds. */
    long wallMillis(RunEvent event) {
        return mStartWallMillis + event.atMillis();
    }

    synchronized void record(
            RunEvent.Kind kind,
            String worker,
            long incarnation,
            long fence,
            String task,
            long run,
            String detail) {
        RunEvent event =
                new RunEvent(nowMillis(), kind, worker, incarnation, fence, task, run, detail);
        mEvents.add(event);
        switch (kind) {
            case START -> started(event);
            case END -> ended(event);
            case ACKNOWLEDGED -> acknowledged(event);
            case LEASE_EXPIRED ->
                    mDone.values()
                            .forEach(
                                    ends ->
                                            ends.removeIf(
                                                    done -> done.end().isSameIncarnation(event)));
        }
    }

    synchronized List<Violation> violations() {
        return List.copyOf(mViolations);
    }

    /** Returns the events of the tasks of a job. */
    synchronized List<RunEvent> eventsOf(String job) {
        return mEvents.stream().filter(event -> event.job().equals(job)).toList();
    }

    synchronized int startCount() {
        return (int) mEvents.stream().filter(e -> e.kind() == RunEvent.Kind.START).count();
    }

    /** Returns whether a task of a job has failed in a number of runs. */
    synchronized boolean hasFailed(String job, int runs) {
        return eventsOf(job).stream()
                .filter(e -> e.kind() == RunEvent.Kind.END)
                .filter(e -> e.detail().equals(WorkerStandIn.FAILED))
                .collect(Collectors.groupingBy(RunEvent::task, Collectors.counting()))
                .values()
                .stream()
                .anyMatch(count -> count >= runs);
    }

    synchronized boolean hasStarted(String job) {
        return mStartedJobs.contains(job);
    }

    private void started(RunEvent start) {
        mStartedJobs.add(start.job());
        List<RunEvent> others = mRunning.computeIfAbsent(start.task(), t -> new ArrayList<>());
        if (!others.isEmpty()) {
            addTwice(start, "while it runs: " + others);
        }
        others.add(start);
        RunEvent done = mAcknowledged.get(start.task());
        if (done != null) {
            addTwice(start, "after its acknowledged end: " + done);
        }
        mStarts.computeIfAbsent(start.task(), task -> new ArrayList<>()).add(start);
    }

    private void ended(RunEvent end) {
        mRunning.getOrDefault(end.task(), List.of()).removeIf(end::isSameRun);
        if (end.detail().equals(DONE)) {
            mDone.computeIfAbsent(end.task(), task -> new ArrayList<>())
                    .add(new Done(end, mStarts.get(end.task()).size()));
        }
    }

    private void acknowledged(RunEvent event) {
        for (Done done : mDone.getOrDefault(event.task(), List.of())) {
            if (!done.end().isSameRun(event)
                    || mAcknowledged.putIfAbsent(event.task(), done.end()) != null) {
                continue;
            }
            List<RunEvent> starts = mStarts.get(event.task());
            starts.subList(done.startCount(), starts.size())
                    .forEach(start -> addTwice(start, "after its acknowledged end: " + done.end()));
        }
    }

    private void addTwice(RunEvent start, String detail) {
        mViolations.add(
                new Violation(Violation.Promise.TWICE, start.job(), start + "\n    " + detail));
    }
}
