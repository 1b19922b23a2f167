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
 * Bearer keys of the operators. Only digests are held; neither keys nor lines of the file appear in
 * messages.
 */
public final class OperatorKeys {
    private static final int MAX_FILE_BYTES = 64 * 1024;
    private static final int MIN_KEY_LENGTH = 16;
    private static final int MAX_KEY_LENGTH = 512;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final String SCHEME = "bearer ";

    private final List<OperatorKey> mKeys;

    private record OperatorKey(String name, byte[] digest) {}

    private OperatorKeys(List<OperatorKey> keys) {
        mKeys = List.copyOf(keys);
    }

    /**
     * Reads a key file: one {@code name:key} pair a line; empty lines and lines that begin with
     * {@code #} are passed over.
     *
     * @param file the file, UTF-8, at most 64 KiB
     * @return the keys
     * @throws IOException when the file cannot be read or a line is malformed; the message names
     *     the file and the line number
     */
    public static OperatorKeys read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + ": larger than " + MAX_FILE_BYTES + " bytes");
        }
        List<OperatorKey> keys = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int number = 0;
        for (String raw : Files.readAllLines(file, StandardCharsets.UTF_8)) {
            number++;
            String line = raw.strip();
            if (!line.isEmpty() && !line.startsWith("#")) {
                OperatorKey key = parse(line, file + ":" + number);
                if (!names.add(key.name())) {
                    throw new IOException(
                            file + ":" + number + ": operator " + key.name() + " a second time");
                }
                keys.add(key);
            }
        }
        if (keys.isEmpty()) {
            throw new IOException(file + ": no operator; accepted: lines of the form name:key");
        }
        return new OperatorKeys(keys);
    }

    /**
     * Authenticates a request. The comparison takes the same time for every key.
     *
     * @param authorization value of the header {@code Authorization}, or null
     * @return name of the operator, or empty
     */
    public Optional<String> authenticate(String authorization) {
        if (authorization == null
                || !authorization.toLowerCase(Locale.ROOT).startsWith(SCHEME)
                || authorization.length() > SCHEME.length() + MAX_KEY_LENGTH) {
            return Optional.empty();
        }
        byte[] digest = digest(authorization.substring(SCHEME.length()).strip());
        String found = null;
        for (OperatorKey key : mKeys) {
            // No early exit, so that the time does not tell which key came close.
            found = MessageDigest.isEqual(key.digest(), digest) ? key.name() : found;
        }
        return Optional.ofNullable(found);
    }

    private static OperatorKey parse(String line, String place) throws IOException {
        int colon = line.indexOf(':');
        String name = colon < 0 ? "" : line.substring(0, colon).strip();
        String key = colon < 0 ? "" : line.substring(colon + 1).strip();
        if (!NAME.matcher(name).matches()) {
            throw new IOException(
                    place + ": malformed line; accepted: name:key, name as " + NAME.pattern());
        }
        if (key.length() < MIN_KEY_LENGTH || key.length() > MAX_KEY_LENGTH) {
            throw new IOException(
                    place
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
