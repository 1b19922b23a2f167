package org.knapweedbank.tools;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the timeline of a request from the logs of several processes. */
class LogExplainCommandTest {
    private static final String LOG_OF_E1 =
            """
            {"at":1000,"node":"e1","event":"store.lost","subject":"store","cause":"reset"}
            {"at":2000,"node":"e1","event":"call.submit","subject":"aa","answer":"Accepted[]"}
            {"at":2500,"node":"e1","event":"task.order","subject":"aa.0.0.0","run":1,"vm":"v1"}
            {"at":2600,"node":"e1","event":"task.order","subject":"bb.0.0.0","run":1,"vm":"v2"}
            {"at":2700,"node":"e1","event":"vm.lost","subject":"v2","reason":"gone"}
            {"at":3000,"node":"e1","event":"vm.lost","subject":"v1","reason":"gone"}
            {"at":3001,"node":"e1","event":"task.lost","subject":"aa.0.0.0","run":1,"vm":"v1",\
            "reason":"gone"}
            a line of another kind {"x":1}
            {"at":9000,"node":"e1","event":"election.won","subject":3}
            """;
    private static final String LOG_OF_E2 =
            """
            2026-12-04 collector {"at":6500,"node":"e2","event":"job.completed","subject":"aa",\
            "elapsed_ms":4500,"objective_ms":3000}
            {"at":6400,"node":"e2","event":"task.end","subject":"aa.0.0.0","run":2,"how":"DONE",\
            "vm":"v3"}
            """;

    private final ClientFixture mClient = new ClientFixture();
    @TempDir private Path mDirectory;

    private ExitCode explain(String job, String... options) throws IOException {
        String[] args = new String[5 + options.length];
        args[0] = "log";
        args[1] = "explain";
        args[2] = job;
        args[3] = Files.writeString(mDirectory.resolve("e2.log"), LOG_OF_E2).toString();
        args[4] = Files.writeString(mDirectory.resolve("e1.log"), LOG_OF_E1).toString();
        System.arraycopy(options, 0, args, 5, options.length);
        return mClient.run(args);
    }

    /** Guards against lines out of order, and lines of another request. */
    @Test
    void printsLinesOfAllProcessesInOrderOfTime() throws IOException {
        assertThat(explain("aa")).isEqualTo(ExitCode.DONE);
        assertThat(
                        mClient.out()
                                .lines()
                                .takeWhile(line -> !line.isEmpty())
                                .map(line -> line.strip().split("\\s+")[3])
                                .toList())
                .containsExactly(
                        "store.lost",
                        "call.submit",
                        "task.order",
                        "vm.lost",
                        "task.lost",
                        "task.end",
                        "job.completed")
                .inOrder();
        assertThat(mClient.out()).contains("+0.500 s  e1  task.order aa.0.0.0  run=1 vm=v1");
        assertThat(mClient.out()).doesNotContain("bb");
    }

    /** Guards against output that does not state the causes. */
    @Test
    void printsCausesOfFailures() throws IOException {
        explain("aa");
        assertThat(mClient.out()).contains("- e1 lost the store at -1.000 s: reset\n");
        assertThat(mClient.out())
                .contains("- run 1 of task aa.0.0.0 on v1 was lost: gone, at +1.001 s\n");
        assertThat(mClient.out())
                .contains("- the job ended after 4500 ms, 1500 ms over its objective\n");
    }

    /** Guards against presenting a job in progress as ended. */
    @Test
    void reportsThatTheLogsShowNoEnd() throws IOException {
        explain("bb");
        assertThat(mClient.out()).contains("- these logs do not show an end of the job\n");
    }

    /** Guards against JSON output that other programs cannot parse. */
    @Test
    void jsonContainsLinesAndCauses() throws IOException {
        assertThat(explain("aa", "--output", "json")).isEqualTo(ExitCode.DONE);
        assertThat(mClient.out()).contains("\"request\" : \"aa\"");
        assertThat(mClient.out()).contains("\"causes\" : [ \"e1 lost the store");
    }

    /** Guards against reporting success for a misspelled identifier. */
    @Test
    void rejectsUnknownRequest() throws IOException {
        assertThat(explain("cc")).isEqualTo(ExitCode.REFUSED);
        assertThat(mClient.err()).contains("no line is about cc");
    }

    /** Guards against treating a missing file as an empty one. */
    @Test
    void reportsUnreadableFileAsUsageError() {
        assertThat(mClient.run("log", "explain", "aa", "/nonexistent.log"))
                .isEqualTo(ExitCode.USAGE);
    }
}
