package org.knapweedbank.tools;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What the processes' logs tell of one request: the lines about its job in order of time, and
 * between them the changes in what the processes depended on.
 *
 * @param job identifier of the request and of its job
 * @param lines the lines in order
 */
record RequestStory(String job, List<LogLine> lines) {
    /** Changes that concern each request under way. */
    private static final Set<String> CHANGES =
            Set.of(
                    "store.lost",
                    "store.regained",
                    "writer.failing",
                    "writer.deposed",
                    "election.won",
                    "election.deposed",
                    "election.resign",
                    "owner.superseded");

    /** Changes of a VM, which concern the requests that have a task there. */
    private static final Set<String> VM_CHANGES = Set.of("vm.lost", "vm.suspended");

    /** How long before the first line of the request a change may be its cause. */
    private static final long LEAD_MILLIS = 5_000;

    /**
     * Selects the lines of a request.
     *
     * @param job identifier of the request
     * @param log all lines, in any order
     * @return the story, without lines if none is about the request
     */
    static RequestStory of(String job, List<LogLine> log) {
        List<LogLine> own = log.stream().filter(line -> line.isAbout(job)).toList();
        if (own.isEmpty()) {
            return new RequestStory(job, List.of());
        }
        long first = own.stream().mapToLong(LogLine::atMillis).min().getAsLong() - LEAD_MILLIS;
        long last = own.stream().mapToLong(LogLine::atMillis).max().getAsLong();
        Set<String> vms = own.stream().map(line -> line.field("vm")).collect(Collectors.toSet());
        Stream<LogLine> changes =
                log.stream()
                        .filter(line -> line.atMillis() >= first && line.atMillis() <= last)
                        .filter(line -> concerns(line, vms));
        return new RequestStory(
                job,
                Stream.concat(own.stream(), changes)
                        .sorted(Comparator.comparingLong(LogLine::atMillis))
                        .toList());
    }

    /** Tells whether a line can become part of a story without being about its job. */
    static boolean isChange(LogLine line) {
        return CHANGES.contains(line.event()) || VM_CHANGES.contains(line.event());
    }

    private static boolean concerns(LogLine line, Set<String> vms) {
        return CHANGES.contains(line.event())
                || VM_CHANGES.contains(line.event()) && vms.contains(line.subject());
    }

    /** What became of the request, and what stands behind it. */
    List<String> causes() {
        List<String> causes = new ArrayList<>();
        lines.stream()
                .filter(line -> line.event().equals("call.submit"))
                .reduce((before, after) -> after)
                .filter(line -> !line.field("answer").startsWith("Accepted"))
                .ifPresent(
                        line -> causes.add("the last call was answered " + line.field("answer")));
        lines.stream().map(this::cause).filter(cause -> !cause.isEmpty()).forEach(causes::add);
        boolean ended = lines.stream().anyMatch(this::isEnd);
        if (!ended) {
            causes.add("these logs do not show an end of the job");
        }
        return causes;
    }

    private boolean isEnd(LogLine line) {
        return line.subject().equals(job)
                && Set.of("job.completed", "job.failed", "job.cancelled").contains(line.event());
    }

    private String cause(LogLine line) {
        return switch (line.event()) {
            case "job.completed" -> completed(line);
            case "job.failed" ->
                    "task %s failed %s times, as often as its queue allows"
                            .formatted(line.field("task"), line.field("tries"));
            case "job.cancelled" -> "the job was cancelled";
            case "job.rank" ->
                    line.field("missed").equals("0")
                            ? ""
                            : "the job could not meet its objective any more at " + offset(line);
            case "task.lost" -> ended(line, "was lost: " + line.field("reason"));
            case "task.stop" -> ended(line, "was stopped: " + line.field("reason"));
            case "task.end" ->
                    line.field("how").equals("DONE")
                            ? ""
                            : ended(line, "ended " + line.field("how"));
            case "task.not_started" -> ended(line, "did not start: " + line.field("outcome"));
            case "store.lost" ->
                    "%s lost the store at %s: %s"
                            .formatted(line.node(), offset(line), line.field("cause"));
            case "election.won" -> "%s became owner at %s".formatted(line.node(), offset(line));
            default -> "";
        };
    }

    private static String completed(LogLine line) {
        long elapsed = line.fields().path("elapsed_ms").asLong();
        long objective = line.fields().path("objective_ms").asLong();
        return elapsed <= objective
                ? ""
                : "the job ended after %d ms, %d ms over its objective"
                        .formatted(elapsed, elapsed - objective);
    }

    private String ended(LogLine line, String how) {
        String vm = line.field("vm");
        String where = vm.isEmpty() ? "" : " on " + vm;
        return "run %s of task %s%s %s, at %s"
                .formatted(line.field("run"), line.subject(), where, how, offset(line));
    }

    /** Time of a line since the first line about the request, in seconds. */
    String offset(LogLine line) {
        long first =
                lines.stream()
                        .filter(other -> other.isAbout(job))
                        .mapToLong(LogLine::atMillis)
                        .findFirst()
                        .orElse(line.atMillis());
        return "%+.3f s".formatted((line.atMillis() - first) / 1_000.0);
    }
}
