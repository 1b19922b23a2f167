package org.knapweedbank.tools;

import java.nio.file.Files;
import java.nio.file.Path;

/** What the checked configuration is compared with: the value of {@code --against}. */
sealed interface ComparisonTarget {
    /** Value that stands for the servers of the command line or the settings file. */
    String CONFIGURED_SERVERS = "server";

    /** A file with a complete document, such as the output of {@code render}. */
    record LocalFile(String name) implements ComparisonTarget {}

    /** The generation in force on the servers of the command line or the settings file. */
    record ConfiguredServers() implements ComparisonTarget {}

    /** The generation in force on one server. */
    record Server(ServerAddress address) implements ComparisonTarget {}

    /** Parses the value; an existing file takes precedence over the address of a server. */
    static ComparisonTarget parse(String text) throws UsageException {
        if (text.equals(CONFIGURED_SERVERS)) {
            return new ConfiguredServers();
        }
        if (Files.exists(Path.of(text))) {
            return new LocalFile(text);
        }
        try {
            return new Server(ServerAddress.parse(text));
        } catch (UsageException e) {
            throw new UsageException(
                    "--against: found " + text + "; accepted: an existing file, HOST:PORT, server");
        }
    }
}
