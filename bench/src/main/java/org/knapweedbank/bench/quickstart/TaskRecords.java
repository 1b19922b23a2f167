package org.knapweedbank.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Starts and ends of attempts, as the worker stand-ins recorded them. */
final class TaskRecords {
    private final List<Event> mEvents = new ArrayList<>();

    /**
     * Start or end of an attempt.
     *
     * @param kind {@code start} for a start
     * @param atMillis wall time of the event
     * @param dataCentre data centre of the worker
     * @param task identifier of the task
     * @param attempt number of the attempt
     * @param state state of the attempt after the event
     */
    private record Event(
            String kind, long atMillis, String dataCentre, String task, int attempt, String state) {
        private boolean isStart() {
            return kind.equals("start");
        }
    }

    /** Adds the events of the answer of one worker stand-in. */
    void addExecutions(JsonNode executions) {
        executions
                .path("executions")
                .forEach(
                        node ->
                                mEvents.add(
                                        new Event(
                                                node.path("kind").asText(),
                                                node.path("atMillis").asLong(),
                                                node.path("dataCentre").asText(),
                                                node.path("task").asText(),
                                                node.path("attempt").asInt(),
                                                node.path("state").asText())));
    }

    /**
     * Returns the events of the jobs whose identifiers start with a prefix, by job and in order of
     * time.
     */
    private Map<String, List<Event>> eventsByJob(String jobIdPrefix) {
        return mEvents.stream()
                .filter(event -> event.task().startsWith(jobIdPrefix))
                .sorted(Comparator.comparingLong(Event::atMillis))
                .collect(Collectors.groupingBy(event -> event.task().replaceAll("/\\d+$", "")));
    }

    /**
     * Returns the number of jobs with a task that finished more than once or ran in two places at
     * once.
     */
    long countDuplicatedJobs(String jobIdPrefix) {
        return eventsByJob(jobIdPrefix).values().stream().filter(TaskRecords::isDuplicated).count();
    }

    /** Returns whether a task of a job finished more than once or ran in two places at once. */
    private static boolean isDuplicated(List<Event> events) {
        return events.stream().collect(Collectors.groupingBy(Event::task)).values().stream()
                .anyMatch(task -> countFinishes(task) > 1 || hasOverlappingAttempts(task));
    }

    private static long countFinishes(List<Event> events) {
        return events.stream()
                .filter(event -> !event.isStart() && event.state().equals("FINISHED"))
                .count();
    }

    /** Returns whether two attempts ran at the same time. */
    private static boolean hasOverlappingAttempts(List<Event> events) {
        int running = 0;
        boolean overlap = false;
        for (Event event : events) {
            running += event.isStart() ? 1 : -1;
            overlap |= running > 1;
        }
        return overlap;
    }

    /** Returns the number of jobs whose tasks all finished exactly once. */
    long countJobsFinishedOnce(String jobIdPrefix, int tasksPerJob) {
        return eventsByJob(jobIdPrefix).values().stream()
                .filter(events -> !isDuplicated(events))
                .filter(
                        events ->
                                events.stream()
                                                .filter(event -> event.state().equals("FINISHED"))
                                                .map(Event::task)
                                                .distinct()
                                                .count()
                                        == tasksPerJob)
                .count();
    }

    /** Returns the number of attempts that started in a data centre between two wall times. */
    long countStartsIn(String dataCentre, long fromMillis, long toMillis) {
        return mEvents.stream()
                .filter(Event::isStart)
                .filter(event -> event.dataCentre().equals(dataCentre))
                .filter(event -> event.atMillis() > fromMillis && event.atMillis() < toMillis)
                .count();
    }

    /** Returns the number of attempts that started. */
    long countStarts() {
        return mEvents.stream().filter(Event::isStart).count();
    }

    /** Returns the number of attempts that ended with a checkpoint. */
    long countCheckpoints() {
        return mEvents.stream().filter(event -> event.state().equals("CHECKPOINTED")).count();
    }
}
