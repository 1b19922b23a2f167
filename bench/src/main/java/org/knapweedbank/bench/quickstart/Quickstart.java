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
 * Runs a deployment of two data centres on loopback: configuration, requests, streams, batch jobs,
 * a data centre that leaves and returns, a killed agent, planned stops. Counts each invariant from
 * what the stand-ins executed and ends with a table and one line of JSON.
 */
public final class Quickstart {
    private static final long SEED = 20_261_204L;
    private static final Duration STOP_LIMIT = Duration.ofSeconds(15);
    private static final long REMOVAL_LIMIT_MILLIS = 3_000;
    private static final int STREAMS = 6;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long CALM_MILLIS = 5_000;

    /** Reasons of refusals that are shown. */
    private static final int REASONS = 5;

    /** Processor time of a task, in thousandths of a core. */
    private static final int SMALL = 1_000;

    /** Twelve tasks of this size use all four VMs, so some run beside the agent that is killed. */
    private static final int LARGE = 4_500;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Deployment mDeployment;
    private final StandinClient mClient = new StandinClient();
    private final Vertx mVertx = Vertx.vertx();
    private final long mStartMillis = System.currentTimeMillis();
    private final TaskRecords mTasks = new TaskRecords();
    private final Map<String, Integer> mExecutionsByKey = new HashMap<>();
    private final Set<String> mExecutedTokens = new HashSet<>();
    private RequestLoad mRequests;
    private StreamLoad mStreams;
    private JobLoad mJobs;
    private long mOutMillis;
    private long mInMillis;
    private long mKillMillis;
    private long mCutByPlannedStop;

    private Quickstart(Path root, Path folder) {
        mDeployment = new Deployment(root, folder);
    }

    /**
     * Runs the quickstart.
     *
     * @param args folder for logs and settings files
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
            print(report);
            exitCode = report.passed() ? 0 : 1;
        } catch (IOException e) {
            System.out.println("quickstart failed: " + e.getMessage());
            System.out.println("logs are in " + folder);
            System.out.println(
                    MAPPER.writeValueAsString(Map.of("passed", false, "error", e.toString())));
        } finally {
            quickstart.mDeployment.killAll();
        }
        System.exit(exitCode);
    }

    private void progress(String text) {
        long elapsed = System.currentTimeMillis() - mStartMillis;
        System.out.printf("%6.1f s  %s%n", elapsed / 1_000.0, text);
    }

    private QuickstartReport run() throws IOException, InterruptedException {
        startAll();
        configure();
        startLoad();
        pause(WARM_UP_MILLIS);
        mRequests.begin(LoadPhase.CALM);
        pause(CALM_MILLIS);
        mRequests.begin(LoadPhase.CHANGES);
        removeAndReturnDataCentre();
        killAgent();
        finishJobs();
        stopOneEntryAndAgent();
        finishJobs();
        stopAll();
        return report();
    }

    private void startAll() throws IOException, InterruptedException {
        progress("starting the key-value stand-in and two entries");
        mDeployment.startStore();
        mDeployment.startEntries();
        progress("starting four worker VMs with worker, agent and upstream");
        mDeployment.startVms();
        mDeployment.awaitDaemons();
    }

    private void configure() throws IOException, InterruptedException {
        Path folder = mDeployment.folder();
        Files.writeString(folder.resolve("operator.key"), Deployment.OPERATOR_KEY + "\n");
        Path conf = mDeployment.root().resolve("conf/quickstart");
        Deployment.CommandResult result =
                mDeployment.client(
                        "apply",
                        "--expect",
                        "0",
                        "--wait",
                        conf.resolve("base.json").toString(),
                        conf.resolve("highlands.json").toString());
        if (result.exitCode() != 0) {
            throw new IOException("apply failed: " + result.output());
        }
        progress("configuration applied: " + result.output().strip().replace('\n', ' '));
    }

    private void startLoad() throws IOException, InterruptedException {
        List<Integer> entries =
                mDeployment.entries().stream().map(Deployment.Entry::callers).toList();
        List<Integer> upstreams =
                mDeployment.vms().stream().map(Deployment.Vm::upstreamPort).toList();
        mRequests = new RequestLoad(mVertx, entries, upstreams, SEED);
        awaitHealthy(entries.size());
        mRequests.start();
        mStreams = new StreamLoad(mVertx, mRequests);
        mStreams.start(STREAMS);
        mJobs = new JobLoad(mDeployment, mClient);
        mJobs.submit(24, 2_000, SMALL);
        progress("load running: 200 requests/s, " + STREAMS + " streams, 24 batch jobs");
    }

    private void awaitHealthy(int count) throws IOException, InterruptedException {
        long deadline = System.currentTimeMillis() + 10_000;
        while (mRequests.entries().healthy().size() < count) {
            if (System.currentTimeMillis() > deadline) {
                throw new IOException("the entries did not become healthy in 10 s");
            }
            pause(50);
        }
    }

    private void removeAndReturnDataCentre() throws IOException, InterruptedException {
        mJobs.submit(10, 3_000, SMALL);
        runClient("dc", "out", "south");
        mOutMillis = System.currentTimeMillis();
        progress("data centre south is out of service");
        mJobs.submit(10, 1_000, SMALL);
        pause(4_500);
        mInMillis = System.currentTimeMillis();
        runClient("dc", "in", "south");
        progress("data centre south is back in service");
        pause(1_500);
    }

    private void runClient(String... arguments) throws IOException, InterruptedException {
        Deployment.CommandResult result = mDeployment.client(arguments);
        if (result.exitCode() != 0) {
            throw new IOException(String.join(" ", arguments) + ": " + result.output());
        }
    }

    private void killAgent() throws IOException, InterruptedException {
        mJobs.submit(4, 2_000, LARGE);
        pause(500);
        mKillMillis = System.currentTimeMillis();
        mDeployment.process("agent-south-1").kill();
        progress("agent of VM south-1 killed outright");
    }

    /** A planned stop under load must not cut a request. */
    private void stopOneEntryAndAgent() throws IOException, InterruptedException {
        mJobs.submit(8, 1_500, SMALL);
        long begin = System.currentTimeMillis();
        List<String> killed = mDeployment.stop(List.of("agent-north-2"), STOP_LIMIT);
        killed.addAll(mDeployment.stop(List.of("entry-south"), STOP_LIMIT));
        long end = System.currentTimeMillis();
        mDeployment.restart("agent-north-2");
        pause(500);
        mCutByPlannedStop += killed.size() + cutBetween(begin, end);
        progress("agent of VM north-2 and entry south stopped under load, the agent started again");
    }

    private long cutBetween(long begin, long end) {
        return mRequests.outcomes().stream()
                .filter(outcome -> outcome.startMillis() < end && outcome.endMillis() >= begin)
                .filter(outcome -> outcome.kind() == CallOutcome.Kind.BROKEN)
                .peek(outcome -> progress("cut by a planned stop: " + outcome))
                .count();
    }

    private void finishJobs() throws IOException, InterruptedException {
        boolean all = mJobs.awaitFinished(mStartMillis + 52_000);
        progress(
                all
                        ? "all " + mJobs.submitted() + " jobs have finished"
                        : "not all jobs have finished in time");
    }

    private void stopAll() throws IOException, InterruptedException {
        mRequests.stop();
        mStreams.stop();
        while (mRequests.open() > 0 && System.currentTimeMillis() < mStartMillis + 55_000) {
            pause(20);
        }
        collectRecords();
        List<String> killed = mDeployment.stop(running("agent-"), STOP_LIMIT);
        killed.addAll(mDeployment.stop(running("entry-"), STOP_LIMIT));
        mCutByPlannedStop += killed.size();
        progress("all daemons stopped" + (killed.isEmpty() ? "" : "; had to kill " + killed));
    }

    private List<String> running(String prefix) {
        return mDeployment.names(prefix).stream()
                .filter(name -> mDeployment.process(name).isAlive())
                .toList();
    }

    private void collectRecords() throws IOException, InterruptedException {
        for (Deployment.Vm vm : mDeployment.vms()) {
            mTasks.add(mClient.get(vm.workerAdmin(), "/admin/executions"));
            JsonNode executions = mClient.get(vm.upstreamAdmin(), "/admin/executions");
            executions.path("executions").forEach(this::collect);
        }
    }

    private void collect(JsonNode execution) {
        mExecutedTokens.add(execution.path("token").asText());
        String key = execution.path("idempotencyKey").asText();
        if (!key.isEmpty()) {
            mExecutionsByKey.merge(key, 1, Integer::sum);
        }
    }

    /** Shows why requests were not answered, the most frequent reasons first. */
    private void explainRefusals() {
        Map<String, Long> reasons =
                mRequests.outcomes().stream()
                        .filter(outcome -> outcome.kind() != CallOutcome.Kind.ANSWERED)
                        .collect(
                                Collectors.groupingBy(
                                        outcome -> outcome.kind() + ", " + outcome.detail(),
                                        Collectors.counting()));
        LongSummaryStatistics times =
                mRequests.outcomes().stream()
                        .filter(outcome -> outcome.detail().contains("no upstream"))
                        .collect(Collectors.summarizingLong(CallOutcome::startMillis));
        if (times.getCount() > 0) {
            progress(
                    "no upstream from "
                            + (times.getMin() - mStartMillis)
                            + " to "
                            + (times.getMax() - mStartMillis)
                            + " ms");
        }
        reasons.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .limit(REASONS)
                .forEach(reason -> progress(reason.getValue() + " x " + reason.getKey()));
    }

    private QuickstartReport report() {
        explainRefusals();
        Map<CallOutcome.Kind, Long> kinds =
                mRequests.outcomes().stream()
                        .collect(Collectors.groupingBy(CallOutcome::kind, Collectors.counting()));
        long finishedOnce = mTasks.finishedOnce(JobLoad.PREFIX, JobLoad.TASKS_PER_JOB);
        long doubled = mTasks.doubled(JobLoad.PREFIX);
        long lost = mJobs.submitted() - finishedOnce - doubled;
        long twice = mExecutionsByKey.values().stream().filter(count -> count > 1).count();
        long falseNotRun =
                mRequests.outcomes().stream()
                        .filter(outcome -> outcome.kind() == CallOutcome.Kind.NOT_RUN)
                        .filter(outcome -> mExecutedTokens.contains(outcome.token()))
                        .count();
        long starts = mTasks.starts("south", mOutMillis + REMOVAL_LIMIT_MILLIS, mInMillis);
        long wrong = kinds.getOrDefault(CallOutcome.Kind.WRONG, 0L);
        long truncated = kinds.getOrDefault(CallOutcome.Kind.TRUNCATED, 0L);
        long answered = kinds.getOrDefault(CallOutcome.Kind.ANSWERED, 0L);
        long violations =
                wrong + truncated + twice + falseNotRun + mStreams.lost() + doubled + starts;
        boolean passed = violations + lost + mCutByPlannedStop == 0 && answered > 0;
        return new QuickstartReport(
                mRequests.outcomes().size(),
                answered,
                kinds.getOrDefault(CallOutcome.Kind.NOT_RUN, 0L),
                kinds.getOrDefault(CallOutcome.Kind.UNKNOWN, 0L)
                        + kinds.getOrDefault(CallOutcome.Kind.BROKEN, 0L),
                truncated,
                wrong,
                twice,
                falseNotRun,
                mStreams.lost(),
                mJobs.submitted(),
                finishedOnce,
                lost,
                doubled,
                starts,
                mCutByPlannedStop,
                millis(mRequests.throughEntries().getValueAtPercentile(50)),
                millis(mRequests.throughEntries().getValueAtPercentile(99)),
                millis(mRequests.direct().getValueAtPercentile(50)),
                millis(mRequests.direct().getValueAtPercentile(99)),
                mRequests.latencies(),
                mTasks.starts(),
                mTasks.checkpoints(),
                mStreams.events(),
                passed);
    }

    private static double millis(long micros) {
        return micros / 1_000.0;
    }

    private static void print(QuickstartReport report) throws IOException {
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

    private static void pause(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }
}
