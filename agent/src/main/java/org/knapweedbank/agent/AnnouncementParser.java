package org.knapweedbank.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.regex.Pattern;

/** Parses and validates announcements of upstreams. */
final class AnnouncementParser {
    private static final int MAX_SLOTS = 1024;
    private static final int MAX_CONNECTIONS = 65_536;
    private static final Pattern SERVICE = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern ADDRESS = Pattern.compile("[0-9A-Za-z.:_\\[\\]-]{1,255}:[0-9]+");

    private final ObjectMapper mMapper =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /**
     * Parses an announcement.
     *
     * @throws AnnouncementException if the body is malformed, with a message for the operator of
     *     the upstream
     */
    Announcement parse(byte[] body) throws AnnouncementException {
        JsonNode node;
        try {
            node = mMapper.readTree(body);
        } catch (JsonProcessingException e) {
            throw new AnnouncementException("body is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new AnnouncementException("body cannot be read");
        }
        if (node == null || !node.isObject()) {
            throw new AnnouncementException("body is not a JSON object");
        }
        int slots = number(node, "slots", 1, MAX_SLOTS);
        int connections = number(node, "connections", slots, MAX_CONNECTIONS);
        return new Announcement(
                text(node, "service", SERVICE), address(node), slots, connections, leaving(node));
    }

    private static String address(JsonNode node) throws AnnouncementException {
        String address = text(node, "address", ADDRESS);
        String port = address.substring(address.lastIndexOf(':') + 1);
        if (port.length() > 5 || Integer.parseInt(port) < 1 || Integer.parseInt(port) > 65_535) {
            throw new AnnouncementException("address: port is not from 1 to 65535");
        }
        return address;
    }

    private static boolean leaving(JsonNode node) throws AnnouncementException {
        String state = node.path("state").asText("");
        return switch (state) {
            case "ready" -> false;
            case "leaving" -> true;
            default -> throw new AnnouncementException("state: accepted are ready and leaving");
        };
    }

    private static String text(JsonNode node, String field, Pattern pattern)
            throws AnnouncementException {
        JsonNode value = node.path(field);
        if (!value.isTextual() || !pattern.matcher(value.textValue()).matches()) {
            throw new AnnouncementException(field + ": missing or not a valid " + field);
        }
        return value.textValue();
    }

    private static int number(JsonNode node, String field, int min, int max)
            throws AnnouncementException {
        JsonNode value = node.path(field);
        if (!value.canConvertToInt()
                || !value.isIntegralNumber()
                || value.intValue() < min
                || value.intValue() > max) {
            throw new AnnouncementException(
                    field + ": missing or not an integer from " + min + " to " + max);
        }
        return value.intValue();
    }
}
