package org.knapweedbank.config;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the base file and the overlays that are shipped under conf/. */
class ShippedConfigurationTest {
    private static final Path DIRECTORY = Path.of("..", "conf");

    /** Guards against a shipped overlay that operators can't apply. */
    @ParameterizedTest
    @ValueSource(strings = {"quito.json", "heredia.json", "hiililaakso.json"})
    void overlayIsAccepted(String overlay) throws IOException {
        ConfigurationParser parser = new ConfigurationParser();
        ParsedFile base =
                parser.parseBase("base.json", Files.readAllBytes(DIRECTORY.resolve("base.json")));
        ParsedFile site =
                parser.parseOverlay(overlay, Files.readAllBytes(DIRECTORY.resolve(overlay)));
        MergeResult merged = new ConfigurationMerger(parser).merge(base, Optional.of(site));
        assertThat(merged.errors()).isEmpty();
        assertThat(merged.warnings()).isEmpty();
        assertThat(merged.isAccepted()).isTrue();
    }
}
