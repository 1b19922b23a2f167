package org.knapweedbank.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** What the workers executed, as their stand-ins recorded it. */
final class TaskRecords {
    private final List<Event> mEvents = new ArrayList<>();

    /** Start or end of an attempt. */
    private record Event(
            String kind, long atMillis, String dataCentre, String task, int attempt, String state) {
        private boolean isStart() {
            return kind.equals("start");
        }
    }

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

    private Map<String, List<Event>> eventsByJob(String jobIdPrefix) {
        return mEvents.stream()
                .filter(event -> event.task().startsWith(jobIdPrefix))
                .sorted(Comparator.comparingLong(Event::atMillis))
                .collect(Collectors.groupingBy(event -> event.task().replaceAll("/\\d+$", "")));
    }

    /** Jobs of which a task finished more than once, or ran in two places at once. */
    long countDuplicatedJobs(String jobIdPrefix) {
        return eventsByJob(jobIdPrefix).values().stream().filter(TaskRecords::isDuplicated).count();
    }

    private static boolean isDuplicated(List<Event> events) {
        return events.stream().collect(Collectors.groupingBy(Event::task)).values().stream()
                .anyMatch(task -> countFinishes(task) > 1 || runsOverlap(task));
    }

    private static long countFinishes(List<Event> events) {
        return events.stream()
                .filter(event -> !event.isStart() && event.state().equals("FINISHED"))
                .count();
    }

    private static boolean runsOverlap(List<Event> events) {
        int running = 0;
        boolean overlap = false;
        for (Event event : events) {
            running += event.isStart() ? 1 : -1;
            overlap |= running > 1;
        }
        return overlap;
    }

    /** Jobs all of whose tasks finished exactly once. */
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

    /** Starts in a data centre in a time span. */
    long countStartsIn(String dataCentre, long fromMillis, long toMillis) {
        return mEvents.stream()
                .filter(Event::isStart)
                .filter(event -> event.dataCentre().equals(dataCentre))
                .filter(event -> event.atMillis() > fromMillis && event.atMillis() < toMillis)
                .count();
    }

    long countStarts() {
        return mEvents.stream().filter(Event::isStart).count();
    }

    long countCheckpoints() {
        return mEvents.stream().filter(event -> event.state().equals("CHECKPOINTED")).count();
    }
}
