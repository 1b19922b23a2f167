package org.knapweedbank.entry.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Bearer keys of the operators. Only digests of the keys are kept in memory, and neither keys nor
 * lines of the key file appear in messages.
 */
public final class OperatorKeys {
    private static final int MAX_FILE_BYTES = 64 * 1024;
    private static final int MIN_KEY_LENGTH = 16;
    private static final int MAX_KEY_LENGTH = 512;
    private static final Pattern OPERATOR_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final String BEARER_PREFIX = "bearer ";

    private final List<OperatorKey> mKeys;

    private record OperatorKey(String name, byte[] digest) {}

    private OperatorKeys(List<OperatorKey> keys) {
        mKeys = List.copyOf(keys);
    }

    /**
     * Reads a key file with one {@code name:key} pair per line. Ignores empty lines and lines that
     * start with {@code #}.
     *
     * @param file the file, UTF-8, at most 64 KiB
     * @return the keys
     * @throws IOException if the file cannot be read, is too large or has a malformed line; for a
     *     line, the message names the file and the line number
     */
    public static OperatorKeys read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + ": key file is larger than " + MAX_FILE_BYTES + " bytes");
        }
        List<OperatorKey> keys = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int lineNumber = 0;
        for (String rawLine : Files.readAllLines(file, StandardCharsets.UTF_8)) {
            lineNumber++;
            String line = rawLine.strip();
            if (!line.isEmpty() && !line.startsWith("#")) {
                OperatorKey key = parse(line, file + ":" + lineNumber);
                if (!names.add(key.name())) {
                    throw new IOException(
                            file
                                    + ":"
                                    + lineNumber
                                    + ": operator "
                                    + key.name()
                                    + " a second time");
                }
                keys.add(key);
            }
        }
        if (keys.isEmpty()) {
            throw new IOException(
                    file + ": no operator defined; accepted: lines of the form name:key");
        }
        return new OperatorKeys(keys);
    }

    /**
     * Authenticates a request. The key is compared with those of all operators in constant time.
     *
     * @param authorization value of the {@code Authorization} header, or null
     * @return name of the operator, or empty if the key is not valid
     */
    public Optional<String> authenticate(String authorization) {
        if (authorization == null
                || !authorization.toLowerCase(Locale.ROOT).startsWith(BEARER_PREFIX)
                || authorization.length() > BEARER_PREFIX.length() + MAX_KEY_LENGTH) {
            return Optional.empty();
        }
        byte[] digest = digest(authorization.substring(BEARER_PREFIX.length()).strip());
        String operator = null;
        for (OperatorKey key : mKeys) {
            // No early exit, so that the response time does not reveal which key matched.
            operator = MessageDigest.isEqual(key.digest(), digest) ? key.name() : operator;
        }
        return Optional.ofNullable(operator);
    }

    private static OperatorKey parse(String line, String location) throws IOException {
        int colon = line.indexOf(':');
        String name = colon < 0 ? "" : line.substring(0, colon).strip();
        String key = colon < 0 ? "" : line.substring(colon + 1).strip();
        if (!OPERATOR_NAME.matcher(name).matches()) {
            throw new IOException(
                    location
                            + ": malformed line; accepted: name:key, name as "
                            + OPERATOR_NAME.pattern());
        }
        if (key.length() < MIN_KEY_LENGTH || key.length() > MAX_KEY_LENGTH) {
            throw new IOException(
                    location
                            + ": key of "
                            + name
                            + " has "
                            + key.length()
                            + " characters; accepted: "
                            + MIN_KEY_LENGTH
                            + " to "
                            + MAX_KEY_LENGTH);
        }
        return new OperatorKey(name, digest(key));
    }

    private static byte[] digest(String key) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
