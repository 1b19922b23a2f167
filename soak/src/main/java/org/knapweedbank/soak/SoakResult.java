package org.knapweedbank.soak;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Result of a run.
 *
 * @param seed seed of the run
 * @param jobs submitted jobs
 * @param starts number of runs that workers have started
 * @param violations broken promises
 */
record SoakResult(long seed, List<Job> jobs, int starts, List<Violation> violations) {
    String summary() {
        String outcomes =
                Arrays.stream(Job.Outcome.values())
                        .map(o -> count(o) + " " + o.name().toLowerCase(java.util.Locale.ROOT))
                        .collect(Collectors.joining(", "));
        long longRunning =
                jobs.stream()
                        .filter(Job::isAccepted)
                        .filter(job -> job.kind() == Job.Kind.LONG_RUNNING)
                        .count();
        String broken =
                Arrays.stream(Violation.Promise.values())
                        .map(promise -> promise + " " + count(promise))
                        .collect(Collectors.joining(", "));
        return "seed %d: jobs %s, %d long-running accepted; starts %d; broken %s"
                .formatted(seed, outcomes, longRunning, starts, broken);
    }

    private long count(Job.Outcome outcome) {
        return jobs.stream().filter(job -> job.outcome() == outcome).count();
    }

    private long count(Violation.Promise promise) {
        return violations.stream().filter(v -> v.promise() == promise).count();
    }
}
