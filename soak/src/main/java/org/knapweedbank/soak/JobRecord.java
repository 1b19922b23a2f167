package org.knapweedbank.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Record of a job: what the workers saw of its tasks, and the lines of the processes' logs that
 * name the job, or one of its workers around that time.
 *
 * @param job identifier of the job
 * @param history events of the workers
 * @param processes processes with their logs
 */
record JobRecord(String job, RunHistory history, List<RoleProcess> processes) {
    private static final Pattern TIME = Pattern.compile("\\{\"at\":(\\d+),.*");

    /** Events that name a job; those of other jobs are left out. */
    private static final Pattern OF_A_JOB = Pattern.compile("\"event\":\"(task|job|call)\\.");

    /** Time around the events of a job within which lines of no job count. */
    private static final long MARGIN_MILLIS = 2_000;

    void write(PrintStream report) throws IOException {
        List<RunEvent> events = history.eventsOf(job);
        report.println();
        events.forEach(report::println);
        Predicate<String> isOfTheirTime = isOfTheirTime(events);
        for (RoleProcess process : processes) {
            try (Stream<String> lines = Files.lines(process.log())) {
                lines.filter(line -> line.contains(job) || isOfTheirTime.test(line))
                        .forEach(report::println);
            }
        }
    }

    /** Returns whether a line is of the time of the events and of no job at all. */
    private Predicate<String> isOfTheirTime(List<RunEvent> events) {
        if (events.isEmpty()) {
            return line -> false;
        }
        long first = history.wallMillis(events.getFirst()) - MARGIN_MILLIS;
        long last = history.wallMillis(events.getLast()) + MARGIN_MILLIS;
        return line ->
                !OF_A_JOB.matcher(line).find()
                        && atMillis(line).filter(at -> at >= first && at <= last).isPresent();
    }

    private static Optional<Long> atMillis(String line) {
        Matcher time = TIME.matcher(line);
        return time.matches() ? Optional.of(Long.valueOf(time.group(1))) : Optional.empty();
    }
}
