package org.knapweedbank.tools;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class KnapweedbankClientTest {
    private static final String KEY = "0123456789abcdef-secret";
    private static final String DOCUMENT =
            "{\"site\": \"s\", \"dataCentres\": {\"a\": {\"region\": \"r\"}}}";
    private static final String JOB =
            """
            {"id": "j", "team": "t", "kind": "batch", "taskClass": "c",
             "resources": {"milliCpu": 1, "memoryMb": 1}, "command": ["x"]}
            """;
    private static final String APPLIED =
            "{\"outcome\": \"applied\", \"generation\": 8, \"changed\": true}";
    private static final String CONFLICT =
            "{\"type\": \"urn:knapweedbank:problem:conflict\", \"detail\": \"generation 9 is in"
                    + " force, set by ben\"}";

    private static final Map<Integer, String> OUTCOME_BY_STATUS =
            Map.of(500, "unknown", 503, "not-applied", 504, "unknown");

    private final ClientFixture mClient = new ClientFixture();
    private final FakeServer mServer = new FakeServer();
    @TempDir private Path mDirectory;
    private String mBase;
    private String mJob;

    @BeforeEach
    void writeFiles() throws IOException {
        mBase = write("base.json", DOCUMENT);
        mJob = write("job.json", JOB);
        write("key", "ana:" + KEY);
    }

    @AfterEach
    void closeServer() {
        mServer.close();
    }

    private String write(String name, String text) throws IOException {
        return Files.writeString(mDirectory.resolve(name), text).toString();
    }

    private ExitCode run(String... args) {
        String[] all = new String[args.length + 4];
        System.arraycopy(args, 0, all, 4, args.length);
        all[0] = "--server";
        all[1] = mServer.address();
        all[2] = "--key-file";
        all[3] = mDirectory.resolve("key").toString();
        return mClient.run(all);
    }

    private static String configurationBody(long generation) {
        return "{\"generation\": %d, \"confirmed\": true, \"document\": %s}"
                .formatted(generation, DOCUMENT);
    }

    private static String statusBody(
            long entryGeneration, long agentGeneration, boolean agentConnected) {
        return """
               {"site": "s", "entry": "e", "generation": %d, "viewAgeMillis": 5,
                "dataCentres": [{"name": "a", "region": "r", "state": "in"}],
                "daemons": [
                  {"id": "e", "role": "entry", "connected": true, "generation": %d},
                  {"id": "x", "role": "agent", "connected": %s, "generation": %d}]}
               """
                .formatted(entryGeneration, entryGeneration, agentConnected, agentGeneration);
    }

    /** Guards against running an invalid command line. */
    @ParameterizedTest
    @CsvSource({
        "'', no command",
        "jobs, found command jobs",
        "statsu, accepted: validate",
        "status extra, wrong number of arguments for status",
        "dc out, wrong number of arguments for dc out",
        "status --expect 3, status has no option --expect",
        "status --no-such-option, no-such-option",
        "status --output xml, 'accepted: table, json'",
        "status --server host, accepted: HOST:PORT",
        "status --timeout 0, accepted: 1 to 600",
        "status, no server",
        "status --settings /nonexistent, settings file /nonexistent",
        "status --server h:1 --key-file /nonexistent, key file cannot be read",
        "dc out a --server h:1 --expect x, accepted: an integer from 0",
        "audit --server h:1 --limit 0, accepted: an integer from 1",
        "validate /nonexistent, /nonexistent cannot be read"
    })
    void reportsInvalidCommandLine(String commandLine, String message) {
        String[] args = commandLine.isEmpty() ? new String[0] : commandLine.split(" ");
        assertThat(mClient.run(args)).isEqualTo(ExitCode.USAGE);
        assertThat(mClient.err()).contains(message);
        assertThat(mClient.out()).isEmpty();
    }

    /** Guards against a command without help text, examples and exit codes. */
    @Test
    void everyCommandHasHelpWithExamples() {
        assertThat(mClient.run("--help")).isEqualTo(ExitCode.DONE);
        for (Command command : Commands.ALL) {
            assertThat(mClient.run("--help")).isEqualTo(ExitCode.DONE);
            assertThat(mClient.out()).contains(command.name());
            String[] args = (command.name() + " --help").split(" ");
            assertThat(mClient.run(args)).isEqualTo(ExitCode.DONE);
            assertThat(mClient.out()).contains("knapweedbank " + command.name());
            assertThat(mClient.out()).contains("Examples:");
            assertThat(mClient.out()).contains("Exit codes");
        }
    }

    /** Guards against accepting invalid files, and errors without file and line. */
    @Test
    void validatesAndRendersFiles() throws IOException {
        assertThat(mClient.run("validate", mBase)).isEqualTo(ExitCode.DONE);
        String overlay = write("overlay.json", "{\n\"site\": 4}");
        assertThat(mClient.run("validate", mBase, overlay)).isEqualTo(ExitCode.REFUSED);
        assertThat(mClient.err()).contains("overlay.json:2: $.site: found 4; accepted: a string");
        assertThat(mClient.run("validate", mBase, overlay, "--output", "json"))
                .isEqualTo(ExitCode.REFUSED);
        assertThat(mClient.out()).contains("\"accepted\" : false");
        assertThat(mClient.run("apply", mBase, overlay, "--server", mServer.address()))
                .isEqualTo(ExitCode.REFUSED);
        assertThat(mServer.requests()).isEmpty();

        write("overlay.json", "{\"site\": \"other\"}");
        assertThat(mClient.run("render", mBase, overlay)).isEqualTo(ExitCode.DONE);
        assertThat(mClient.out()).contains("\"site\" : \"other\"");
    }

    /** Guards against requests to a wrong route, and against not printing the response. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "status|GET /v1/status|{\"site\": \"s1\", \"daemons\": [{\"id\": \"d7\"}]}|d7",
                "jobs list|GET /v1/jobs|{\"jobs\": [{\"id\": \"j9\"}], \"unreachable\": []}|j9",
                "jobs show a/b|GET /v1/jobs/a%2Fb|{\"taskList\": [{\"vm\": \"v3\"}]}|v3",
                "explain j|GET /v1/jobs/j/explain|{\"explanation\": \"no room\"}|no room",
                "audit|GET /v1/audit?limit=50|{\"records\": [{\"operator\": \"ana\"}]}|ana",
                "audit --limit 5 --before 9|GET /v1/audit?limit=5&before=9|{\"records\": []}|at",
                "jobs cancel j|DELETE /v1/jobs/j|{\"state\": \"cancelled\"}|cancelled"
            })
    void printsResponseOfEachReadCommand(
            String commandLine, String request, String responseBody, String text) {
        mServer.prepareResponse(200, responseBody).prepareResponse(200, responseBody);
        assertThat(run(commandLine.split(" "))).isEqualTo(ExitCode.DONE);
        assertThat(mServer.requests()).containsExactly(request);
        assertThat(mServer.authorizationHeaders()).containsExactly("Bearer " + KEY);
        assertThat(mClient.out()).contains(text);
        assertThat(run((commandLine + " --output json").split(" "))).isEqualTo(ExitCode.DONE);
        assertThat(mClient.out()).startsWith("{");
    }

    /** Guards against a wrong exit code after a failure, and against printing the bearer key. */
    @ParameterizedTest
    @CsvSource({
        "401, REFUSED",
        "404, REFUSED",
        "422, REFUSED",
        "409, CONFLICT",
        "503, UNREACHABLE",
        "0, UNREACHABLE"
    })
    void mapsFailedReadsToExitCodes(int status, ExitCode code) {
        mServer.prepareResponse(
                status, "{\"detail\": \"why not\", \"errors\": [{\"path\": \"$.p\"}]}");
        assertThat(run("status")).isEqualTo(code);
        assertThat(mClient.err()).contains(status == 0 ? "no server answered" : "why not");
        assertThat(mClient.err()).doesNotContain(KEY);
    }

    /** Guards against reporting an incomplete list of jobs as complete. */
    @Test
    void incompleteJobListIsReportedAsFailure() {
        mServer.prepareResponse(
                200, "{\"jobs\": [], \"omitted\": 3, \"unreachable\": [\"entry-3\"]}");
        assertThat(run("jobs", "list")).isEqualTo(ExitCode.REFUSED);
        assertThat(mClient.err()).contains("entry entry-3 did not answer");
        assertThat(mClient.err()).contains("3 jobs are left out");
    }

    /** Guards against not trying the next server, and against sending a request to two servers. */
    @Test
    void triesServersInOrder() {
        mServer.prepareResponse(200, statusBody(8, 8, true));
        assertThat(mClient.run("status", "--server", "127.0.0.1:1", "--server", mServer.address()))
                .isEqualTo(ExitCode.DONE);
        assertThat(mClient.run("dc", "out", "a", "--server", "127.0.0.1:1"))
                .isEqualTo(ExitCode.UNREACHABLE);
        assertThat(mClient.err()).contains("nothing was changed");
    }

    /** Guards against ignoring the settings file, and against accepting unknown settings. */
    @Test
    void readsSettingsFile() throws IOException {
        String settings =
                write(
                        "client.json",
                        "// client\n{\"servers\": [\"%s\"], \"keyFile\": \"key\"}"
                                .formatted(mServer.address()));
        mServer.prepareResponse(200, statusBody(1, 1, true));
        mClient.environment().put("KNAPWEEDBANK_SETTINGS", settings);
        assertThat(mClient.run("status")).isEqualTo(ExitCode.DONE);
        assertThat(mServer.authorizationHeaders()).containsExactly("Bearer " + KEY);
        write("client.json", "{\"server\": 1}");
        assertThat(mClient.run("status")).isEqualTo(ExitCode.USAGE);
        assertThat(mClient.err()).contains("unknown field server");
    }

    /** Guards against a comparison with a generation that may not be in force. */
    @Test
    void showsDifferencesToTheGenerationInForce() throws IOException {
        String overlay = write("overlay.json", "{\"dataCentres\": {\"b\": {\"region\": \"r\"}}}");
        mServer.prepareResponse(200, configurationBody(7));
        assertThat(run("diff", mBase, overlay)).isEqualTo(ExitCode.DONE);
        assertThat(mClient.out()).contains("generation 7 in force; 1 differences");
        assertThat(mClient.out()).contains("+ $.dataCentres.b: {\"region\":\"r\"}");
        mServer.prepareResponse(
                200, "{\"generation\": 7, \"confirmed\": false, \"reason\": \"down\"}");
        assertThat(run("diff", mBase)).isEqualTo(ExitCode.UNREACHABLE);
    }

    /** Guards against applying files to a generation other than the one the operator expects. */
    @Test
    void appliesOnlyToTheExpectedGeneration() {
        mServer.prepareResponse(200, configurationBody(7)).prepareResponse(200, APPLIED);
        assertThat(run("apply", mBase)).isEqualTo(ExitCode.DONE);
        assertThat(mClient.out()).contains("applied; generation 8");
        assertThat(mServer.requests().get(1)).startsWith("POST /v1/config?expect=7&change=");

        mServer.prepareResponse(409, CONFLICT);
        assertThat(run("apply", mBase, "--expect", "7")).isEqualTo(ExitCode.CONFLICT);
        assertThat(mClient.err()).contains("nothing was changed: generation 9 is in force");

        mServer.prepareResponse(404, "{\"type\": \"urn:knapweedbank:problem:no-configuration\"}");
        mServer.prepareResponse(200, APPLIED);
        assertThat(run("apply", mBase, "--confirm-no-data-centre")).isEqualTo(ExitCode.DONE);
        assertThat(mServer.requests().getLast()).contains("expect=0&change=");
        assertThat(mServer.requests().getLast()).contains("&confirm=no-data-centre-in-service");

        mServer.prepareResponse(200, "{\"generation\": 7, \"confirmed\": false}");
        assertThat(run("apply", mBase)).isEqualTo(ExitCode.UNREACHABLE);
    }

    /** Guards against reporting a wrong outcome of a change whose response was lost. */
    @ParameterizedTest
    @CsvSource({
        "0, 200, 200, DONE",
        "504, 200, 200, DONE",
        "0, 409, 409, CONFLICT",
        "0, 503, 200, DONE",
        "0, 503, 503, UNKNOWN",
        "0, 0, 0, UNKNOWN",
        "504, 504, 504, UNKNOWN",
        "500, 500, 500, UNKNOWN",
        "503, 200, 200, UNREACHABLE"
    })
    void retriesChangeUntilItsOutcomeIsKnown(int first, int second, int third, ExitCode code) {
        for (int status : new int[] {first, second, third}) {
            String body = "{\"outcome\": \"%s\", \"generation\": 8, \"changed\": true}";
            mServer.prepareResponse(
                    status, body.formatted(OUTCOME_BY_STATUS.getOrDefault(status, "applied")));
        }
        assertThat(run("apply", mBase, "--expect", "7")).isEqualTo(code);
        assertThat(mServer.requests().stream().distinct().toList()).hasSize(1);
        boolean retried = first != 503;
        assertThat(mClient.err().contains("reading its outcome back")).isEqualTo(retried);
        assertThat(mClient.err().contains("outcome unknown")).isEqualTo(code == ExitCode.UNKNOWN);
    }

    /** Guards against sending a data centre change to the wrong route. */
    @Test
    void takesDataCentreOutAndIn() {
        mServer.prepareResponse(200, APPLIED);
        assertThat(run("dc", "out", "a b", "--expect", "7")).isEqualTo(ExitCode.DONE);
        assertThat(mServer.requests().getLast()).startsWith("POST /v1/datacentres/a%20b/out?");
        assertThat(mServer.requests().getLast()).endsWith("&expect=7");
        mServer.prepareResponse(200, APPLIED.replace("true", "false"));
        assertThat(run("dc", "in", "a")).isEqualTo(ExitCode.DONE);
        assertThat(mServer.requests().getLast()).startsWith("POST /v1/datacentres/a/in?");
        assertThat(mClient.out()).contains("no change; generation 8");
    }

    /** Guards against ending the wait before all daemons have confirmed the generation. */
    @Test
    void waitsForConfirmation() {
        mServer.prepareResponse(200, APPLIED)
                .prepareResponse(200, statusBody(7, 7, true))
                .prepareResponse(200, statusBody(8, 8, false))
                .prepareResponse(200, statusBody(8, 8, true));
        assertThat(run("dc", "out", "a", "--wait")).isEqualTo(ExitCode.DONE);
        assertThat(mClient.err()).contains("confirmed by all daemons");

        mServer.prepareResponse(200, APPLIED)
                .prepareResponse(200, statusBody(8, 7, true))
                .prepareResponse(200, statusBody(8, 7, true));
        assertThat(run("dc", "out", "a", "--wait", "--wait-timeout", "20"))
                .isEqualTo(ExitCode.REFUSED);
        assertThat(mClient.err()).contains("not confirmed within 20 s");
        assertThat(mClient.err()).contains("agent x has generation 7");
        assertThat(mClient.err()).doesNotContain("entry e");
    }

    /**
     * Guards against reporting a lost submission as rejected, and against sending an invalid job.
     */
    @Test
    void retriesJobSubmissionAndRejectsInvalidFile() throws IOException {
        mServer.prepareResponse(FakeServer.DROP_CONNECTION, "")
                .prepareResponse(201, "{\"id\": \"j\"}");
        assertThat(run("jobs", "submit", mJob)).isEqualTo(ExitCode.DONE);
        assertThat(mServer.requests()).containsExactly("POST /v1/jobs", "POST /v1/jobs");
        String invalidFile = write("faulty.json", "{\n\"id\": 7}");
        assertThat(run("jobs", "submit", invalidFile)).isEqualTo(ExitCode.REFUSED);
        assertThat(mClient.err()).contains("faulty.json:2: $.id");
        assertThat(mServer.requests()).hasSize(2);
    }

    /** Guards against reporting a wrong outcome of a cancellation whose response was lost. */
    @ParameterizedTest
    @CsvSource({"cancelled, DONE", "running, UNKNOWN"})
    void readsJobStateWhenCancellationResponseIsLost(String state, ExitCode code) {
        mServer.prepareResponse(504, "{\"outcome\": \"unknown\"}");
        mServer.prepareResponse(200, "{\"id\": \"j\", \"state\": \"%s\"}".formatted(state));
        assertThat(run("jobs", "cancel", "j")).isEqualTo(code);
        assertThat(mClient.err()).contains("job j is " + state);
        mServer.prepareResponse(422, "{\"detail\": \"ended already\"}");
        assertThat(run("jobs", "cancel", "j")).isEqualTo(ExitCode.REFUSED);
    }
}
