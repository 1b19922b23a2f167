package org.knapweedbank.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Finds long-running tasks that are without a run although no fault keeps them from it. */
final class WaitCheck {
    /** Time without faults after which a wait counts. */
    static final long CALM_MILLIS = 7_000;

    /** Time without a run that breaks the promise. */
    static final long MAX_WAIT_MILLIS = 6_000;

    private final RunHistory mHistory;
    private final long mCalmSince;
    private final long mEnd;

    /**
     * Describes the time that is judged.
     *
     * @param faultsEnd time at which the last fault had ended
     * @param end end of the observation
     */
    WaitCheck(RunHistory history, long faultsEnd, long end) {
        mHistory = history;
        mCalmSince = faultsEnd + CALM_MILLIS;
        mEnd = end;
    }

    List<Violation> check(List<Job> jobs) {
        return jobs.stream()
                .filter(Job::isAccepted)
                .filter(job -> job.kind() == Job.Kind.LONG_RUNNING)
                .flatMap(this::check)
                .toList();
    }

    private Stream<Violation> check(Job job) {
        return IntStream.range(0, job.taskCount()).boxed().flatMap(i -> check(job, job.task(i)));
    }

    /** Walks the runs of a task; a wait counts as soon as it reaches into the calm time. */
    private Stream<Violation> check(Job job, String task) {
        List<Violation> violations = new ArrayList<>();
        List<RunEvent> running = new ArrayList<>();
        long waitingSince = job.atMillis();
        String lastRun = "none";
        for (RunEvent event : mHistory.eventsOf(job.id())) {
            if (!event.task().equals(task)) {
                continue;
            }
            if (event.kind() == RunEvent.Kind.START) {
                if (running.isEmpty() && isTooLong(waitingSince, event.atMillis())) {
                    violations.add(violation(job, task, waitingSince, event.atMillis(), lastRun));
                }
                running.add(event);
            } else if (event.kind() == RunEvent.Kind.END && running.removeIf(event::isSameRun)) {
                waitingSince = event.atMillis();
                lastRun = event.toString();
            }
        }
        if (running.isEmpty()) {
            violations.add(violation(job, task, waitingSince, mEnd, lastRun));
        }
        return violations.stream();
    }

    private boolean isTooLong(long first, long last) {
        return last > mCalmSince && last - first >= MAX_WAIT_MILLIS;
    }

    private static Violation violation(
            Job job, String task, long first, long last, String lastRun) {
        String detail =
                "%s without a run from %.3f to %.3f; last run: %s"
                        .formatted(task, first / 1_000.0, last / 1_000.0, lastRun);
        return new Violation(Violation.Promise.WAITS, job.id(), detail);
    }
}
