package org.knapweedbank.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
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

    /** Time around the events of a job within which lines that name one of its workers count. */
    private static final long MARGIN_MILLIS = 2_000;

    void write(PrintStream report) throws IOException {
        List<RunEvent> events = history.eventsOf(job);
        report.println();
        events.forEach(report::println);
        Predicate<String> isOfWorker = isOfWorker(events);
        for (RoleProcess process : processes) {
            try (Stream<String> lines = Files.lines(process.log())) {
                lines.filter(line -> line.contains(job) || isOfWorker.test(line))
                        .forEach(report::println);
            }
        }
    }

    private Predicate<String> isOfWorker(List<RunEvent> events) {
        if (events.isEmpty()) {
            return line -> false;
        }
        long first = history.wallMillis(events.getFirst()) - MARGIN_MILLIS;
        long last = history.wallMillis(events.getLast()) + MARGIN_MILLIS;
        Pattern worker =
                events.stream()
                        .map(RunEvent::worker)
                        .distinct()
                        .collect(
                                Collectors.collectingAndThen(
                                        Collectors.joining("|"),
                                        ids -> Pattern.compile("\"subject\":\"(" + ids + ")@")));
        return line ->
                worker.matcher(line).find()
                        && atMillis(line).filter(at -> at >= first && at <= last).isPresent();
    }

    private static Optional<Long> atMillis(String line) {
        Matcher time = TIME.matcher(line);
        return time.matches() ? Optional.of(Long.valueOf(time.group(1))) : Optional.empty();
    }
}
