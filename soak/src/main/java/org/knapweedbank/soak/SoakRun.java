package org.knapweedbank.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.SystemClock;

/** Plays one seed, checks what callers and workers have seen, and writes the report. */
final class SoakRun {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Time after the faults within which all accepted jobs must be shown in their final state;
     * long-running ones run. Leases and a take-over last up to ten seconds each.
     */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(40);

    private final Path mFolder;
    private final RoleCommands mCommands;
    private final DeploymentSize mSize;
    private final FaultPlan.Kind mKind;
    private final long mMillis;
    private final Clock mClock = new SystemClock();

    SoakRun(
            Path folder,
            RoleCommands commands,
            DeploymentSize size,
            FaultPlan.Kind kind,
            Duration duration) {
        mFolder = folder;
        mCommands = commands;
        mSize = size;
        mKind = kind;
        mMillis = duration.toMillis();
    }

    /** Plays a seed and returns the broken promises. */
    SoakResult play(long seed) throws IOException, InterruptedException {
        Path logs = Files.createTempDirectory("knapweedbank-soak");
        Files.createDirectories(mFolder);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        RunHistory history = new RunHistory(mClock);
        Path file = mFolder.resolve(seed + ".txt");
        try (PrintStream report = new PrintStream(file.toFile());
                Deployment deployment =
                        new Deployment(mClock, history, mCommands, logs, mSize, random);
                FaultPlayer player =
                        new FaultPlayer(
                                deployment,
                                line -> report.println(seconds(history) + " " + line))) {
            report.println("seed " + seed + ", " + mKind + ", " + mSize + ", " + mMillis + " ms");
            deployment.start();
            JobCallers callers =
                    new JobCallers(
                            deployment.callerUrls(),
                            seed,
                            mSize.workers(),
                            mKind.hasFaultyJobs(),
                            history::nowMillis);
            callers.start();
            player.start(FaultPlan.draw(mKind, random, mSize.workers(), mSize.entries(), mMillis));
            TimeUnit.MILLISECONDS.sleep(mMillis);
            player.await();
            long faultsEnd = history.nowMillis();
            List<Job> jobs = callers.stop();
            report.println(seconds(history) + " faults and submissions have ended");
            List<Violation> violations = new ArrayList<>(findLost(deployment, jobs, history));
            violations.addAll(findWaits(history, jobs, faultsEnd));
            violations.addAll(history.violations());
            jobs.stream()
                    .filter(job -> job.outcome() == Job.Outcome.REFUSED)
                    .filter(job -> history.hasStarted(job.id()))
                    .map(job -> new Violation(Violation.Promise.REFUSED, job.id(), "has started"))
                    .forEach(violations::add);
            deployment.processes().stream()
                    .filter(process -> !process.isRunning())
                    .map(p -> new Violation(Violation.Promise.ENDED, p.name(), "not running"))
                    .forEach(violations::add);
            SoakResult result = new SoakResult(seed, jobs, history.startCount(), violations);
            report.println(seconds(history) + " " + result.summary());
            violations.forEach(report::println);
            List<String> subjects =
                    violations.stream().map(Violation::subject).distinct().sorted().toList();
            for (String subject : subjects) {
                new JobRecord(subject, history, deployment.processes()).write(report);
            }
            return result;
        } finally {
            delete(logs);
        }
    }

    private static String seconds(RunHistory history) {
        return "%8.3f".formatted(history.nowMillis() / 1_000.0);
    }

    /** Observes the calm time for as long as a wait may last, and returns the waits too long. */
    private static List<Violation> findWaits(RunHistory history, List<Job> jobs, long faultsEnd)
            throws InterruptedException {
        long end = faultsEnd + WaitCheck.CALM_MILLIS + WaitCheck.MAX_WAIT_MILLIS;
        TimeUnit.MILLISECONDS.sleep(end - history.nowMillis());
        return new WaitCheck(history, faultsEnd, history.nowMillis()).check(jobs);
    }

    /** Waits until all accepted jobs are in their final state, and returns those that aren't. */
    private List<Violation> findLost(Deployment deployment, List<Job> jobs, RunHistory history)
            throws InterruptedException {
        HttpClient client = HttpJson.client();
        List<Job> open = jobs.stream().filter(Job::isAccepted).toList();
        List<Violation> lost = new ArrayList<>();
        long deadline = mClock.monotonicMillis() + SETTLING_TIME.toMillis();
        while (!open.isEmpty()) {
            lost.clear();
            List<Job> next = new ArrayList<>();
            for (Job job : open) {
                List<String> urls = deployment.callerUrls();
                String url = urls.get(next.size() % urls.size()) + job.id();
                HttpJson.Answer answer =
                        HttpJson.call(client, "GET", url, Deployment.QUEUE_HOST, "", CALL_TIMEOUT);
                if (!isExpected(job, answer.body().path("state").asText(), history)) {
                    next.add(job);
                    String shown = answer.status() + " " + answer.body();
                    lost.add(new Violation(Violation.Promise.LOST, job.id(), "shown as " + shown));
                }
            }
            open = next;
            if (mClock.monotonicMillis() > deadline) {
                return lost;
            }
            TimeUnit.MILLISECONDS.sleep(500);
        }
        return List.of();
    }

    /**
     * Returns whether a job may be shown in a state for good. A job that isn't faulty may fail on
     * workers that fail what they start, but only by as many runs as the queue allows.
     */
    private static boolean isExpected(Job job, String state, RunHistory history) {
        boolean failed =
                state.equals("failed") && history.hasFailed(job.id(), Deployment.MAX_ATTEMPTS);
        return switch (job.kind()) {
            case SHORT -> failed || state.equals("completed");
            case LONG_RUNNING -> state.equals("running");
            case FAULTY -> failed;
        };
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
