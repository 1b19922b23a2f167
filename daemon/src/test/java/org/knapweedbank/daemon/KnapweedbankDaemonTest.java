package org.knapweedbank.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against wrong exit codes and against starting with invalid arguments. */
class KnapweedbankDaemonTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    --help                                 | 0
                    --version                              | 0
                    ''                                     | 2
                    --check                                | 2
                    --config                               | 2
                    --conf ../conf/agent.json              | 2
                    --unknown                              | 2
                    extra                                  | 2
                    --embedded --check                     | 2
                    --config none.json                     | 2
                    --check --config ../conf/agent.json    | 0
                    --check --config ../conf/entry.json    | 2
                    """)
    void returnsExitCodeOfCommandLine(String commandLine, int exitCode) {
        String[] args = commandLine.isEmpty() ? new String[0] : commandLine.split(" ");
        assertThat(run(args)).isEqualTo(exitCode);
        assertThat(mErr.size() == 0).isEqualTo(exitCode == 0);
    }

    @Test
    void printsVersionNumber() {
        run("--version");
        assertThat(mOut.toString(StandardCharsets.UTF_8)).matches("knapweedbankd \\d+\\.\\S+\\s+");
    }

    /** Guards against checking the operator keys only when the entry starts. */
    @Test
    void checkOptionValidatesOperatorKeys(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("entry.json");
        Files.copy(Path.of("..", "conf", "entry.json"), file);
        Files.writeString(directory.resolve("operator-keys"), "ana:0123456789abcdef0123\n");
        assertThat(run("--check", "--config", file.toString())).isEqualTo(0);
        Files.writeString(directory.resolve("operator-keys"), "not a key\n");
        assertThat(run("--check", "--config", file.toString())).isEqualTo(2);
    }

    private int run(String... args) {
        PrintStream out = new PrintStream(mOut, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(mErr, true, StandardCharsets.UTF_8);
        return KnapweedbankDaemon.run(args, out, err).orElse(-1);
    }
}
