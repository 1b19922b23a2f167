package org.knapweedbank.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Runs a deployment of two data centres on loopback under load: applies a configuration, sends
 * requests, keeps event streams open, submits batch jobs, takes a data centre out of service and
 * back, kills an agent and stops daemons. Checks each invariant against what the stand-ins
 * executed, and ends with a table and one line of JSON.
 */
public final class Quickstart {
    private static final long SEED = 20_261_204L;

    /** Time that a daemon has for a graceful stop before it is killed. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(15);

    /** Time after the removal of a data centre during which tasks may still start in it. */
    private static final long REMOVAL_GRACE_MILLIS = 3_000;

    /** Number of event streams that are kept open. */
    private static final int STREAM_COUNT = 6;

    private static final long WARM_UP_MILLIS = 3_000;
    private static final long CALM_MILLIS = 5_000;

    /** Maximum number of reasons that are printed for requests without an answer. */
    private static final int MAX_PRINTED_REASONS = 5;

    /** Processor request of a small task, in thousandths of a core. */
    private static final int SMALL_TASK_MILLI_CPU = 1_000;

    /**
     * Processor request of a large task, in thousandths of a core. Twelve tasks of this size use
     * all four VMs, so that some run on the VM whose agent is killed.
     */
    private static final int LARGE_TASK_MILLI_CPU = 4_500;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Deployment mDeployment;
    private final StandinClient mStandinClient = new StandinClient();
    private final Vertx mVertx = Vertx.vertx();
    private final long mStartMillis = System.currentTimeMillis();
    private final TaskRecords mTaskRecords = new TaskRecords();

    /** Number of executions of each idempotency key at the upstreams. */
    private final Map<String, Integer> mExecutionsByKey = new HashMap<>();

    /** Tokens of the requests that the upstreams executed. */
    private final Set<String> mExecutedTokens = new HashSet<>();

    private RequestLoad mRequestLoad;
    private StreamLoad mStreamLoad;
    private JobLoad mJobLoad;

    /** Wall time at which data centre south was taken out of service. */
    private long mRemovalMillis;

    /** Wall time at which data centre south was put back into service. */
    private long mReturnMillis;

    private long mKillMillis;

    /**
     * Number of requests that a planned stop interrupted, and of daemons that did not stop in time.
     */
    private long mCutByPlannedStop;

    private Quickstart(Path root, Path folder) {
        mDeployment = new Deployment(root, folder);
    }

    /**
     * Runs the quickstart. Exits with status 0 if all invariants hold, else with status 1.
     *
     * @param args directory for logs and settings files
     * @throws Exception when the deployment cannot be started
     */
    public static void main(String[] args) throws Exception {
        Path root = Path.of(System.getProperty("knapweedbank.root", ".")).toAbsolutePath();
        Path folder = Path.of(args[0]).toAbsolutePath();
        Files.createDirectories(folder);
        Quickstart quickstart = new Quickstart(root, folder);
        Runtime.getRuntime().addShutdownHook(new Thread(quickstart.mDeployment::killAll));
        int exitCode = 1;
        try {
            QuickstartReport report = quickstart.run();
            printReport(report);
            exitCode = report.passed() ? 0 : 1;
        } catch (IOException e) {
            System.out.println("quickstart failed: " + e.getMessage());
            System.out.println("log directory: " + folder);
            System.out.println(
                    MAPPER.writeValueAsString(Map.of("passed", false, "error", e.toString())));
        } finally {
            quickstart.mDeployment.killAll();
        }
        System.exit(exitCode);
    }

    /** Prints a line with the time since the start. */
    private void printProgress(String text) {
        long elapsed = System.currentTimeMillis() - mStartMillis;
        System.out.printf("%6.1f s  %s%n", elapsed / 1_000.0, text);
    }

    /** Runs all parts of the quickstart and returns the report. */
    private QuickstartReport run() throws IOException, InterruptedException {
        startDeployment();
        configure();
        startLoad();
        sleep(WARM_UP_MILLIS);
        mRequestLoad.beginPhase(LoadPhase.CALM);
        sleep(CALM_MILLIS);
        mRequestLoad.beginPhase(LoadPhase.CHANGES);
        removeAndReturnDataCentre();
        killAgent();
        finishJobs();
        stopOneEntryAndAgent();
        finishJobs();
        stopDeployment();
        return report();
    }

    /** Starts all processes and waits until they are ready. */
    private void startDeployment() throws IOException, InterruptedException {
        printProgress("starting the key-value stand-in and two entries");
        mDeployment.startStore();
        mDeployment.startEntries();
        printProgress("starting four worker VMs with worker, agent and upstream");
        mDeployment.startVms();
        mDeployment.awaitDaemons();
    }

    /** Writes the operator key and applies the configuration of {@code conf/quickstart}. */
    private void configure() throws IOException, InterruptedException {
        Path folder = mDeployment.folder();
        Files.writeString(folder.resolve("operator.key"), Deployment.OPERATOR_KEY + "\n");
        Path conf = mDeployment.root().resolve("conf/quickstart");
        Deployment.CommandResult result =
                mDeployment.runClient(
                        "apply",
                        "--expect",
                        "0",
                        "--wait",
                        conf.resolve("base.json").toString(),
                        conf.resolve("highlands.json").toString());
        if (result.exitCode() != 0) {
            throw new IOException("cannot apply the configuration: " + result.output());
        }
        printProgress("configuration applied: " + result.output().strip().replace('\n', ' '));
    }

    /** Starts requests and event streams and submits the first jobs. */
    private void startLoad() throws IOException, InterruptedException {
        List<Integer> entryPorts =
                mDeployment.entries().stream().map(Deployment.Entry::callerPort).toList();
        List<Integer> upstreamPorts =
                mDeployment.vms().stream().map(Deployment.Vm::upstreamPort).toList();
        mRequestLoad = new RequestLoad(mVertx, entryPorts, upstreamPorts, SEED);
        awaitHealthy(entryPorts.size());
        mRequestLoad.start();
        mStreamLoad = new StreamLoad(mVertx, mRequestLoad);
        mStreamLoad.start(STREAM_COUNT);
        mJobLoad = new JobLoad(mDeployment, mStandinClient);
        mJobLoad.submit(24, 2_000, SMALL_TASK_MILLI_CPU);
        printProgress("load running: 200 requests/s, " + STREAM_COUNT + " streams, 24 batch jobs");
    }

    private void awaitHealthy(int count) throws IOException, InterruptedException {
        long deadline = System.currentTimeMillis() + 10_000;
        while (mRequestLoad.entries().healthyPorts().size() < count) {
            if (System.currentTimeMillis() > deadline) {
                throw new IOException("the entries did not become healthy within 10 s");
            }
            sleep(50);
        }
    }

    /** Takes data centre south out of service and back while jobs are submitted. */
    private void removeAndReturnDataCentre() throws IOException, InterruptedException {
        mJobLoad.submit(10, 3_000, SMALL_TASK_MILLI_CPU);
        runClient("dc", "out", "south");
        mRemovalMillis = System.currentTimeMillis();
        printProgress("data centre south is out of service");
        mJobLoad.submit(10, 1_000, SMALL_TASK_MILLI_CPU);
        sleep(4_500);
        mReturnMillis = System.currentTimeMillis();
        runClient("dc", "in", "south");
        printProgress("data centre south is back in service");
        sleep(1_500);
    }

    private void runClient(String... arguments) throws IOException, InterruptedException {
        Deployment.CommandResult result = mDeployment.runClient(arguments);
        if (result.exitCode() != 0) {
            throw new IOException(String.join(" ", arguments) + ": " + result.output());
        }
    }

    /** Kills an agent while tasks run on its VM. */
    private void killAgent() throws IOException, InterruptedException {
        mJobLoad.submit(4, 2_000, LARGE_TASK_MILLI_CPU);
        sleep(500);
        mKillMillis = System.currentTimeMillis();
        mDeployment.process("agent-south-1").kill();
        printProgress("agent of VM south-1 killed without a graceful stop");
    }

    /** Stops an agent and an entry gracefully under load, which must not interrupt any request. */
    private void stopOneEntryAndAgent() throws IOException, InterruptedException {
        mJobLoad.submit(8, 1_500, SMALL_TASK_MILLI_CPU);
        long startMillis = System.currentTimeMillis();
        List<String> killedNames = mDeployment.stop(List.of("agent-north-2"), STOP_TIMEOUT);
        killedNames.addAll(mDeployment.stop(List.of("entry-south"), STOP_TIMEOUT));
        long endMillis = System.currentTimeMillis();
        mDeployment.restart("agent-north-2");
        sleep(500);
        mCutByPlannedStop += killedNames.size() + countCutRequests(startMillis, endMillis);
        printProgress(
                "agent of VM north-2 and entry south stopped under load, the agent started again");
    }

    /** Returns the number of requests in progress between two wall times whose connection broke. */
    private long countCutRequests(long startMillis, long endMillis) {
        return mRequestLoad.outcomes().stream()
                .filter(
                        outcome ->
                                outcome.startMillis() < endMillis
                                        && outcome.endMillis() >= startMillis)
                .filter(outcome -> outcome.kind() == CallOutcome.Kind.BROKEN)
                .peek(outcome -> printProgress("request interrupted by a planned stop: " + outcome))
                .count();
    }

    /** Waits until all submitted jobs have finished, at most until 52 s after the start. */
    private void finishJobs() throws IOException, InterruptedException {
        boolean allFinished = mJobLoad.awaitFinished(mStartMillis + 52_000);
        printProgress(
                allFinished
                        ? "all " + mJobLoad.submittedJobs() + " jobs have finished"
                        : "not all jobs have finished in time");
    }

    /**
     * Stops the load, reads the records of the stand-ins and stops the agents, then the entries.
     */
    private void stopDeployment() throws IOException, InterruptedException {
        mRequestLoad.stop();
        mStreamLoad.stop();
        while (mRequestLoad.openRequests() > 0
                && System.currentTimeMillis() < mStartMillis + 55_000) {
            sleep(20);
        }
        collectRecords();
        List<String> killedNames = mDeployment.stop(runningProcesses("agent-"), STOP_TIMEOUT);
        killedNames.addAll(mDeployment.stop(runningProcesses("entry-"), STOP_TIMEOUT));
        mCutByPlannedStop += killedNames.size();
        printProgress(
                "all daemons stopped"
                        + (killedNames.isEmpty()
                                ? ""
                                : "; killed after the timeout: " + killedNames));
    }

    /** Returns the names of the running processes whose names start with a prefix. */
    private List<String> runningProcesses(String prefix) {
        return mDeployment.processNames(prefix).stream()
                .filter(name -> mDeployment.process(name).isAlive())
                .toList();
    }

    /** Reads the executions that the worker and upstream stand-ins recorded. */
    private void collectRecords() throws IOException, InterruptedException {
        for (Deployment.Vm vm : mDeployment.vms()) {
            mTaskRecords.addExecutions(
                    mStandinClient.get(vm.workerAdminPort(), "/admin/executions"));
            JsonNode executions = mStandinClient.get(vm.upstreamAdminPort(), "/admin/executions");
            executions.path("executions").forEach(this::collectExecution);
        }
    }

    /** Records one execution of a request at an upstream. */
    private void collectExecution(JsonNode execution) {
        mExecutedTokens.add(execution.path("token").asText());
        String key = execution.path("idempotencyKey").asText();
        if (!key.isEmpty()) {
            mExecutionsByKey.merge(key, 1, Integer::sum);
        }
    }

    /** Prints the most frequent reasons why requests were not answered. */
    private void printUnansweredReasons() {
        Map<String, Long> reasons =
                mRequestLoad.outcomes().stream()
                        .filter(outcome -> outcome.kind() != CallOutcome.Kind.ANSWERED)
                        .collect(
                                Collectors.groupingBy(
                                        outcome -> outcome.kind() + ", " + outcome.detail(),
                                        Collectors.counting()));
        LongSummaryStatistics noUpstreamMillis =
                mRequestLoad.outcomes().stream()
                        .filter(outcome -> outcome.detail().contains("no upstream"))
                        .collect(Collectors.summarizingLong(CallOutcome::startMillis));
        if (noUpstreamMillis.getCount() > 0) {
            printProgress(
                    "requests without an available upstream from "
                            + (noUpstreamMillis.getMin() - mStartMillis)
                            + " to "
                            + (noUpstreamMillis.getMax() - mStartMillis)
                            + " ms");
        }
        reasons.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .limit(MAX_PRINTED_REASONS)
                .forEach(reason -> printProgress(reason.getValue() + " x " + reason.getKey()));
    }

    /** Checks the invariants against the collected records. */
    private QuickstartReport report() {
        printUnansweredReasons();
        Map<CallOutcome.Kind, Long> kinds =
                mRequestLoad.outcomes().stream()
                        .collect(Collectors.groupingBy(CallOutcome::kind, Collectors.counting()));
        long finishedOnce =
                mTaskRecords.countJobsFinishedOnce(JobLoad.JOB_ID_PREFIX, JobLoad.TASKS_PER_JOB);
        long duplicatedJobs = mTaskRecords.countDuplicatedJobs(JobLoad.JOB_ID_PREFIX);
        long jobsLost = mJobLoad.submittedJobs() - finishedOnce - duplicatedJobs;
        long keysRunTwice = mExecutionsByKey.values().stream().filter(count -> count > 1).count();
        long falseNotRun =
                mRequestLoad.outcomes().stream()
                        .filter(outcome -> outcome.kind() == CallOutcome.Kind.NOT_RUN)
                        .filter(outcome -> mExecutedTokens.contains(outcome.token()))
                        .count();
        long startsAfterRemoval =
                mTaskRecords.countStartsIn(
                        "south", mRemovalMillis + REMOVAL_GRACE_MILLIS, mReturnMillis);
        long wrongAnswers = kinds.getOrDefault(CallOutcome.Kind.WRONG, 0L);
        long truncatedAnswers = kinds.getOrDefault(CallOutcome.Kind.TRUNCATED, 0L);
        long answered = kinds.getOrDefault(CallOutcome.Kind.ANSWERED, 0L);
        long violations =
                wrongAnswers
                        + truncatedAnswers
                        + keysRunTwice
                        + falseNotRun
                        + mStreamLoad.lostStreams()
                        + duplicatedJobs
                        + startsAfterRemoval;
        boolean passed = violations + jobsLost + mCutByPlannedStop == 0 && answered > 0;
        return new QuickstartReport(
                mRequestLoad.outcomes().size(),
                answered,
                kinds.getOrDefault(CallOutcome.Kind.NOT_RUN, 0L),
                kinds.getOrDefault(CallOutcome.Kind.UNKNOWN, 0L)
                        + kinds.getOrDefault(CallOutcome.Kind.BROKEN, 0L),
                truncatedAnswers,
                wrongAnswers,
                keysRunTwice,
                falseNotRun,
                mStreamLoad.lostStreams(),
                mJobLoad.submittedJobs(),
                finishedOnce,
                jobsLost,
                duplicatedJobs,
                startsAfterRemoval,
                mCutByPlannedStop,
                millis(mRequestLoad.entryLatencyMicros().getValueAtPercentile(50)),
                millis(mRequestLoad.entryLatencyMicros().getValueAtPercentile(99)),
                millis(mRequestLoad.directLatencyMicros().getValueAtPercentile(50)),
                millis(mRequestLoad.directLatencyMicros().getValueAtPercentile(99)),
                mRequestLoad.latencies(),
                mTaskRecords.countStarts(),
                mTaskRecords.countCheckpoints(),
                mStreamLoad.receivedEvents(),
                passed);
    }

    private static double millis(long micros) {
        return micros / 1_000.0;
    }

    private static void printReport(QuickstartReport report) throws IOException {
        JsonNode json = MAPPER.valueToTree(report);
        System.out.println();
        json.fields()
                .forEachRemaining(
                        field ->
                                System.out.printf(
                                        "  %-28s %s%n", field.getKey(), field.getValue()));
        System.out.println();
        System.out.println(MAPPER.writeValueAsString(json));
    }

    private static void sleep(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }
}
