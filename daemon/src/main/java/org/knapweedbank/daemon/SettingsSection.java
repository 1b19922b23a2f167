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
 * JSON object of a settings file. Each accessor records an error and returns a placeholder if the
 * value is missing or invalid, so that all errors are found in one pass.
 */
final class SettingsSection {
    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern HOST = Pattern.compile("[A-Za-z0-9.:\\[\\]_-]{1,253}");
    private static final int MAX_PORT = 65_535;
    private static final String PLACEHOLDER = "0";

    private final SettingsDocument mDocument;
    private final ObjectNode mNode;
    private final String mPath;
    private final Set<String> mRequestedNames = new TreeSet<>();

    SettingsSection(SettingsDocument document, ObjectNode node, String path) {
        mDocument = document;
        mNode = node;
        mPath = path;
    }

    boolean has(String name) {
        mRequestedNames.add(name);
        return mNode.has(name);
    }

    /** Returns an identifier, which is used in keys and logs. */
    String identifier(String name) {
        return matchingText(
                name, IDENTIFIER, "1 to 63 of A-Z a-z 0-9 . _ -, beginning with one of A-Z 0-9");
    }

    /** Returns a host name or IP address. */
    String host(String name) {
        return matchingText(name, HOST, "a host name or IP address");
    }

    /** Returns a non-empty string of any form. */
    String text(String name) {
        JsonNode value = findValue(name);
        if (value != null && value.isTextual() && !value.textValue().isEmpty()) {
            return value.textValue();
        }
        addError(name, value, "a non-empty string");
        return PLACEHOLDER;
    }

    /** Returns one of the accepted strings, or an empty string after an error. */
    String oneOf(String name, List<String> accepted) {
        JsonNode value = findValue(name);
        if (value != null && accepted.contains(value.asText())) {
            return value.textValue();
        }
        addError(name, value, String.join(", ", accepted));
        return "";
    }

    /** Returns a required integer within a range. */
    long integer(String name, long min, long max) {
        JsonNode value = findValue(name);
        boolean valid = value != null && value.isIntegralNumber() && value.canConvertToLong();
        if (valid && value.longValue() >= min && value.longValue() <= max) {
            return value.longValue();
        }
        addError(name, value, "an integer from " + min + " to " + max);
        return min;
    }

    /** Returns an integer within a range, or the default if the value is missing. */
    long integer(String name, long min, long max, long defaultValue) {
        return has(name) ? integer(name, min, max) : defaultValue;
    }

    /** Returns a port, where 0 stands for any free port. */
    int port(String name) {
        return (int) integer(name, 0, MAX_PORT);
    }

    /** Returns the HOST:PORT of a peer. */
    String address(String name) {
        JsonNode value = findValue(name);
        if (value != null && value.isTextual() && isAddress(value.textValue())) {
            return value.textValue();
        }
        addError(name, value, "HOST:PORT with a port from 1 to " + MAX_PORT);
        return "localhost:1";
    }

    /** Returns a list of one or more HOST:PORT. */
    List<String> addresses(String name) {
        JsonNode value = findValue(name);
        if (value == null || !value.isArray() || value.isEmpty()) {
            addError(name, value, "a list of one or more HOST:PORT");
            return List.of("localhost:1");
        }
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < value.size(); i++) {
            JsonNode item = value.get(i);
            if (item.isTextual() && isAddress(item.textValue())) {
                addresses.add(item.textValue());
            } else {
                addError(name + "." + i, item, "HOST:PORT with a port from 1 to " + MAX_PORT);
            }
        }
        return addresses.isEmpty() ? List.of("localhost:1") : addresses;
    }

    /** Returns the listen address in a section that has a host and a port. */
    ListenAddress listener(String name) {
        SettingsSection section = section(name);
        ListenAddress address = new ListenAddress(section.host("host"), section.port("port"));
        section.rejectUnknownNames();
        return address;
    }

    /**
     * Returns a section. A missing section is replaced by an empty one, so that its required values
     * are reported as missing.
     */
    SettingsSection section(String name) {
        JsonNode value = findValue(name);
        if (value instanceof ObjectNode object) {
            return new SettingsSection(mDocument, object, pathOf(name));
        }
        if (value != null) {
            addError(name, value, "an object");
        }
        return new SettingsSection(mDocument, JsonNodeFactory.instance.objectNode(), pathOf(name));
    }

    /** Records an error for each name that no accessor has requested. */
    void rejectUnknownNames() {
        Iterator<String> names = mNode.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!mRequestedNames.contains(name)) {
                mDocument.addError(
                        pathOf(name), "unknown name", String.join(", ", mRequestedNames));
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

    private String matchingText(String name, Pattern pattern, String accepted) {
        JsonNode value = findValue(name);
        if (value != null && value.isTextual() && pattern.matcher(value.asText()).matches()) {
            return value.textValue();
        }
        addError(name, value, accepted);
        return PLACEHOLDER;
    }

    private JsonNode findValue(String name) {
        mRequestedNames.add(name);
        return mNode.get(name);
    }

    private void addError(String name, JsonNode value, String accepted) {
        mDocument.addError(pathOf(name), value == null ? "missing" : value.toString(), accepted);
    }

    private String pathOf(String name) {
        return mPath.isEmpty() ? name : mPath + "." + name;
    }
}
