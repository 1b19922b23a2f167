package org.knapweedbank.tools;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.knapweedbank.config.ConfigurationLimits;
import org.knapweedbank.config.ConfigurationMerger;
import org.knapweedbank.config.ConfigurationParser;
import org.knapweedbank.config.MergeResult;
import org.knapweedbank.config.ParsedFile;

/** Reads and merges local configuration files. */
final class LocalFiles {
    private LocalFiles() {}

    /** Merges the base file with the optional overlay and prints errors and warnings. */
    static MergeResult readAndMerge(List<String> names, Output output) throws UsageException {
        MergeResult merged = read(names).merged();
        merged.errors().forEach(error -> output.printMessage(error.toString()));
        merged.warnings().forEach(warning -> output.printMessage(warning.toString()));
        return merged;
    }

    /** Reads the base file and the optional overlay and merges them. */
    static LocalConfiguration read(List<String> names) throws UsageException {
        ConfigurationParser parser = new ConfigurationParser();
        byte[] baseBytes = readFile(names.getFirst());
        byte[] overlayBytes = names.size() > 1 ? readFile(names.get(1)) : new byte[0];
        ParsedFile base = parser.parseBase(names.getFirst(), baseBytes);
        Optional<ParsedFile> overlay =
                names.size() > 1
                        ? Optional.of(parser.parseOverlay(names.get(1), overlayBytes))
                        : Optional.empty();
        MergeResult merged = new ConfigurationMerger(parser).merge(base, overlay);
        return new LocalConfiguration(base, overlay, merged);
    }

    static byte[] readFile(String name) throws UsageException {
        Path file = Path.of(name);
        try {
            if (Files.size(file) > ConfigurationLimits.MAX_DOCUMENT_BYTES) {
                throw new UsageException(
                        name
                                + " is larger than "
                                + ConfigurationLimits.MAX_DOCUMENT_BYTES
                                + " bytes");
            }
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new UsageException(name + " cannot be read: " + e);
        }
    }
}
