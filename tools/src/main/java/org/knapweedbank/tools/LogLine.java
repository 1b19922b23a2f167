package org.knapweedbank.tools;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A line of the decision log of a process on the users' platform.
 *
 * @param atMillis wall time of the process, in milliseconds since 1970
 * @param node the machine of the process
 * @param event what was decided or found, such as {@code task.order}
 * @param subject what it is about, such as a job, a task or a VM
 * @param fields all members of the line
 */
record LogLine(long atMillis, String node, String event, String subject, ObjectNode fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final List<String> HEAD = List.of("at", "node", "event", "subject");

    /**
     * Parses a line, before whose JSON object a collector of logs may have put words of its own.
     *
     * @param text the line
     * @return the line, empty if it is none of the decision log
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

    /** Tells whether the line is about a job, one of its tasks or a call for it. */
    boolean isAbout(String job) {
        return subject.equals(job) || subject.startsWith(job + ".");
    }

    /** Value of a member, empty if the line has none of that name. */
    String field(String name) {
        return fields.path(name).asText();
    }

    /** The members after the head, as words. */
    String details() {
        return fields.properties().stream()
                .filter(member -> !HEAD.contains(member.getKey()))
                .map(member -> member.getKey() + "=" + member.getValue().asText())
                .collect(Collectors.joining(" "));
    }
}
