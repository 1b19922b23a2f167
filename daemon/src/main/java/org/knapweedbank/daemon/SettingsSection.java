package org.knapweedbank.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.knapweedbank.entry.ListenAddress;

/**
 * Object of a settings file. Each accessor notes an error and returns a placeholder when the value
 * is missing or not accepted, so that all errors are found in one pass.
 */
final class SettingsSection {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern HOST = Pattern.compile("[A-Za-z0-9.:\\[\\]_-]{1,253}");
    private static final int MAX_PORT = 65_535;
    private static final String PLACEHOLDER = "0";

    private final SettingsDocument mDocument;
    private final ObjectNode mNode;
    private final String mPath;
    private final Set<String> mKnown = new TreeSet<>();

    SettingsSection(SettingsDocument document, ObjectNode node, String path) {
        mDocument = document;
        mNode = node;
        mPath = path;
    }

    boolean has(String name) {
        mKnown.add(name);
        return mNode.has(name);
    }

    /** An identifier that is used in keys and logs. */
    String name(String name) {
        return matching(name, NAME, "1 to 63 of A-Z a-z 0-9 . _ -, beginning with one of A-Z 0-9");
    }

    /** A host name or address. */
    String host(String name) {
        return matching(name, HOST, "a host name or IP address");
    }

    /** A text without limits on its form. */
    String text(String name) {
        JsonNode value = value(name);
        if (value != null && value.isTextual() && !value.textValue().isEmpty()) {
            return value.textValue();
        }
        error(name, value, "a text");
        return PLACEHOLDER;
    }

    /** A text that is one of a few. */
    String oneOf(String name, List<String> accepted) {
        JsonNode value = value(name);
        if (value != null && accepted.contains(value.asText())) {
            return value.textValue();
        }
        error(name, value, String.join(", ", accepted));
        return "";
    }

    /** A whole number in a range; required. */
    long integer(String name, long min, long max) {
        JsonNode value = value(name);
        boolean valid = value != null && value.isIntegralNumber() && value.canConvertToLong();
        if (valid && value.longValue() >= min && value.longValue() <= max) {
            return value.longValue();
        }
        error(name, value, "a whole number from " + min + " to " + max);
        return min;
    }

    /** A whole number in a range, or a default when it is missing. */
    long integer(String name, long min, long max, long missing) {
        return has(name) ? integer(name, min, max) : missing;
    }

    /** A port; 0 stands for any free port. */
    int port(String name) {
        return (int) integer(name, 0, MAX_PORT);
    }

    /** HOST:PORT of a peer. */
    String address(String name) {
        JsonNode value = value(name);
        if (value != null && value.isTextual() && isAddress(value.textValue())) {
            return value.textValue();
        }
        error(name, value, "HOST:PORT with a port from 1 to " + MAX_PORT);
        return "localhost:1";
    }

    /** List of one or more HOST:PORT. */
    List<String> addresses(String name) {
        JsonNode value = value(name);
        if (value == null || !value.isArray() || value.isEmpty()) {
            error(name, value, "a list of one or more HOST:PORT");
            return List.of("localhost:1");
        }
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < value.size(); i++) {
            JsonNode item = value.get(i);
            if (item.isTextual() && isAddress(item.textValue())) {
                addresses.add(item.textValue());
            } else {
                error(name + "." + i, item, "HOST:PORT with a port from 1 to " + MAX_PORT);
            }
        }
        return addresses.isEmpty() ? List.of("localhost:1") : addresses;
    }

    /** Section with host and port of a listener. */
    ListenAddress listener(String name) {
        SettingsSection section = section(name);
        ListenAddress address = new ListenAddress(section.host("host"), section.port("port"));
        section.checkUnknown();
        return address;
    }

    /** A section; an empty one when it is missing, whose values are then reported. */
    SettingsSection section(String name) {
        JsonNode value = value(name);
        if (value instanceof ObjectNode object) {
            return new SettingsSection(mDocument, object, path(name));
        }
        if (value != null) {
            error(name, value, "an object");
        }
        return new SettingsSection(mDocument, JsonNodeFactory.instance.objectNode(), path(name));
    }

    /** Notes an error for each name that has not been asked for. */
    void checkUnknown() {
        Iterator<String> names = mNode.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!mKnown.contains(name)) {
                mDocument.error(path(name), "unknown name", String.join(", ", mKnown));
            }
        }
    }

    private static boolean isAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !HOST.matcher(text.substring(0, colon)).matches()) {
            return false;
        }
        String port = text.substring(colon + 1);
        return port.matches("[0-9]{1,5}")
                && Integer.parseInt(port) >= 1
                && Integer.parseInt(port) <= MAX_PORT;
    }

    private String matching(String name, Pattern pattern, String accepted) {
        JsonNode value = value(name);
        if (value != null && value.isTextual() && pattern.matcher(value.asText()).matches()) {
            return value.textValue();
        }
        error(name, value, accepted);
        return PLACEHOLDER;
    }

    private JsonNode value(String name) {
        mKnown.add(name);
        return mNode.get(name);
    }

    private void error(String name, JsonNode value, String accepted) {
        mDocument.error(path(name), value == null ? "missing" : value.toString(), accepted);
    }

    private String path(String name) {
        return mPath.isEmpty() ? name : mPath + "." + name;
    }
}
