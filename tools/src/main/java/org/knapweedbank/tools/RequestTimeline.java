package org.knapweedbank.tools;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Timeline of one request from the decision logs of several processes: the lines about its job and
 * the context events, such as a lost store or VM, that may have affected it.
 *
 * @param job identifier of the request and of its job
 * @param lines the lines in order of time
 */
record RequestTimeline(String job, List<LogLine> lines) {
    /** Events that may affect every request in progress. */
    private static final Set<String> CONTEXT_EVENTS =
            Set.of(
                    "store.lost",
                    "store.regained",
                    "writer.failing",
                    "writer.deposed",
                    "election.won",
                    "election.deposed",
                    "election.resign",
                    "owner.superseded");

    /** Events of a VM, which may affect the requests that have a task on it. */
    private static final Set<String> VM_CONTEXT_EVENTS =
            Set.of("vm.lost", "vm.suspended", "vm.recovered");

    /** Time before the first line of the request in which context events are included. */
    private static final long LOOKBACK_MILLIS = 5_000;

    /**
     * Selects the lines of a request and the context events during its run.
     *
     * @param job identifier of the request
     * @param logLines all lines, in any order
     * @return the timeline; it has no lines if none is about the request
     */
    static RequestTimeline of(String job, List<LogLine> logLines) {
        List<LogLine> jobLines = logLines.stream().filter(line -> line.isAbout(job)).toList();
        if (jobLines.isEmpty()) {
            return new RequestTimeline(job, List.of());
        }
        long firstMillis =
                jobLines.stream().mapToLong(LogLine::atMillis).min().getAsLong() - LOOKBACK_MILLIS;
        long lastMillis = jobLines.stream().mapToLong(LogLine::atMillis).max().getAsLong();
        Set<String> vms =
                jobLines.stream().map(line -> line.field("vm")).collect(Collectors.toSet());
        Stream<LogLine> contextLines =
                logLines.stream()
                        .filter(
                                line ->
                                        line.atMillis() >= firstMillis
                                                && line.atMillis() <= lastMillis)
                        .filter(line -> isContextOf(line, vms));
        return new RequestTimeline(
                job,
                Stream.concat(jobLines.stream(), contextLines)
                        .sorted(Comparator.comparingLong(LogLine::atMillis))
                        .toList());
    }

    /** Returns whether a line can be part of a timeline without being about its job. */
    static boolean isContextEvent(LogLine line) {
        return CONTEXT_EVENTS.contains(line.event()) || VM_CONTEXT_EVENTS.contains(line.event());
    }

    private static boolean isContextOf(LogLine line, Set<String> vms) {
        return CONTEXT_EVENTS.contains(line.event())
                || VM_CONTEXT_EVENTS.contains(line.event()) && vms.contains(line.subject());
    }

    /** Returns sentences that describe the outcome of the request and its causes. */
    List<String> causes() {
        List<String> causes = new ArrayList<>();
        lines.stream()
                .filter(line -> line.event().equals("call.submit"))
                .reduce((before, after) -> after)
                .filter(line -> !line.field("answer").startsWith("Accepted"))
                .ifPresent(
                        line -> causes.add("the last call was answered " + line.field("answer")));
        lines.stream()
                .map(this::describeCause)
                .filter(cause -> !cause.isEmpty())
                .forEach(causes::add);
        boolean endFound = lines.stream().anyMatch(this::isJobEnd);
        if (!endFound) {
            causes.add("these logs do not show an end of the job");
        }
        return causes;
    }

    private boolean isJobEnd(LogLine line) {
        return line.subject().equals(job)
                && Set.of("job.completed", "job.failed", "job.cancelled").contains(line.event());
    }

    private String describeCause(LogLine line) {
        return switch (line.event()) {
            case "job.completed" -> describeOverrun(line);
            case "job.failed" ->
                    "task %s failed %s times, as often as its queue allows"
                            .formatted(line.field("task"), line.field("tries"));
            case "job.cancelled" -> "the job was cancelled";
            case "job.rank" ->
                    line.field("missed").equals("0")
                            ? ""
                            : "the job could not meet its objective any more at "
                                    + formatOffset(line);
            case "task.lost" -> describeRunEnd(line, "was lost: " + line.field("reason"));
            case "task.stop" -> describeRunEnd(line, "was stopped: " + line.field("reason"));
            case "task.end" ->
                    line.field("how").equals("DONE")
                            ? ""
                            : describeRunEnd(line, "ended " + line.field("how"));
            case "task.not_started" ->
                    describeRunEnd(line, "did not start: " + line.field("outcome"));
            case "store.lost" ->
                    "%s lost the store at %s: %s"
                            .formatted(line.node(), formatOffset(line), line.field("cause"));
            case "election.won" ->
                    "%s became owner at %s".formatted(line.node(), formatOffset(line));
            default -> "";
        };
    }

    private static String describeOverrun(LogLine line) {
        long elapsed = line.fields().path("elapsed_ms").asLong();
        long objective = line.fields().path("objective_ms").asLong();
        return elapsed <= objective
                ? ""
                : "the job ended after %d ms, %d ms over its objective"
                        .formatted(elapsed, elapsed - objective);
    }

    private String describeRunEnd(LogLine line, String howItEnded) {
        String vm = line.field("vm");
        String onVm = vm.isEmpty() ? "" : " on " + vm;
        return "run %s of task %s%s %s, at %s"
                .formatted(line.field("run"), line.subject(), onVm, howItEnded, formatOffset(line));
    }

    /** Formats the time between the first line about the job and the given line, in seconds. */
    String formatOffset(LogLine line) {
        long firstMillis =
                lines.stream()
                        .filter(other -> other.isAbout(job))
                        .mapToLong(LogLine::atMillis)
                        .findFirst()
                        .orElse(line.atMillis());
        return "%+.3f s".formatted((line.atMillis() - firstMillis) / 1_000.0);
    }
}
