package org.knapweedbank.tools;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A line of the decision log of a process.
 *
 * @param atMillis wall time of the process, in milliseconds since 1970
 * @param node name of the machine that the process runs on
 * @param event name of the event, such as {@code task.order}
 * @param subject identifier of the object of the event, such as a job, a task or a VM
 * @param fields the whole JSON object of the line
 */
record LogLine(long atMillis, String node, String event, String subject, ObjectNode fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final List<String> HEADER_FIELDS = List.of("at", "node", "event", "subject");

    /**
     * Parses a log line. Text before the JSON object, as log collectors add it, is ignored.
     *
     * @param text text of the line
     * @return the parsed line, or empty if the text is not a line of the decision log
     */
    static Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            return MAPPER.readTree(text.substring(start)) instanceof ObjectNode node
                            && node.path("event").isTextual()
                            && node.path("at").isIntegralNumber()
                    ? Optional.of(of(node))
                    : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static LogLine of(ObjectNode node) {
        return new LogLine(
                node.get("at").asLong(),
                node.path("node").asText(),
                node.get("event").asText(),
                node.path("subject").asText(),
                node);
    }

    /** Returns whether the subject of the line is the given job or one of its tasks. */
    boolean isAbout(String job) {
        return subject.equals(job) || subject.startsWith(job + ".");
    }

    /** Returns the value of a field, or an empty string if the line has no such field. */
    String field(String name) {
        return fields.path(name).asText();
    }

    /** Formats the fields other than the header fields as {@code name=value} pairs. */
    String details() {
        return fields.properties().stream()
                .filter(member -> !HEADER_FIELDS.contains(member.getKey()))
                .map(member -> member.getKey() + "=" + member.getValue().asText())
                .collect(Collectors.joining(" "));
    }
}
