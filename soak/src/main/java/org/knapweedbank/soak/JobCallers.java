package org.knapweedbank.soak;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Callers that submit jobs of short tasks all along, a few jobs of long-running tasks and, on
 * request, some that fail. Each one keeps its connections to the entries open until the entries
 * close them, and repeats a submission without an answer at any entry.
 */
final class JobCallers {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final int CALLERS = 6;
    private static final int MAX_ATTEMPTS = 6;
    private static final long RETRY_DELAY_MILLIS = 300;
    private static final int MAX_TASKS = 8;
    private static final long MIN_TASK_MILLIS = 100;
    private static final long MAX_TASK_MILLIS = 1_000;
    private static final long MAX_JOB_INTERVAL_MILLIS = 600;

    private static final int LONG_RUNNING_CALLERS = 2;

    /** Of the callers with long-running jobs, one job in this number is long-running. */
    private static final int JOBS_PER_LONG_RUNNING_JOB = 12;

    /**
     * Tasks of a long-running job, each of a fifth of a worker's cores. One job for each worker
     * leaves 60% of the cores free, and with three workers or more no single one can run all tasks.
     */
    private static final int LONG_RUNNING_TASKS = 2;

    private static final int LONG_RUNNING_MILLI_CPU = 3_200;
    private static final long LONG_RUNNING_MILLIS = 3_600_000;
    private static final int JOBS_PER_FAULTY_JOB = 16;
    private static final long FAULTY_MILLIS = 20;

    private final List<String> mUrls;
    private final long mSeed;
    private final boolean mFaultyJobs;
    private final LongSupplier mTime;
    private final AtomicInteger mLongRunningLeft;
    private final AtomicInteger mCount = new AtomicInteger();
    private final List<Job> mJobs = new ArrayList<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopped;

    /**
     * Describes the callers.
     *
     * @param workers number of workers, which limits the number of long-running jobs
     * @param faultyJobs whether some jobs fail wherever they run
     * @param time time since the start of the deployment in milliseconds
     */
    JobCallers(List<String> urls, long seed, int workers, boolean faultyJobs, LongSupplier time) {
        mUrls = urls;
        mSeed = seed;
        mLongRunningLeft = new AtomicInteger(workers);
        mFaultyJobs = faultyJobs;
        mTime = time;
    }

    void start() {
        for (int i = 0; i < CALLERS; i++) {
            UniformRandomProvider random =
                    RandomSource.XO_RO_SHI_RO_128_PP.create(mSeed * CALLERS + i);
            boolean longRunning = i < LONG_RUNNING_CALLERS;
            mThreads.add(Thread.ofPlatform().daemon().start(() -> submitAll(random, longRunning)));
        }
    }

    /** Ends the submissions and returns all jobs. */
    List<Job> stop() throws InterruptedException {
        mStopped = true;
        for (Thread thread : mThreads) {
            thread.join();
        }
        synchronized (mJobs) {
            return List.copyOf(mJobs);
        }
    }

    private void submitAll(UniformRandomProvider random, boolean longRunning) {
        HttpClient client = HttpJson.client();
        try {
            while (!mStopped) {
                Job job = submit(client, random, drawKind(random, longRunning));
                synchronized (mJobs) {
                    mJobs.add(job);
                }
                TimeUnit.MILLISECONDS.sleep(random.nextLong(MAX_JOB_INTERVAL_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Job.Kind drawKind(UniformRandomProvider random, boolean longRunning) {
        if (longRunning
                && random.nextInt(JOBS_PER_LONG_RUNNING_JOB) == 0
                && mLongRunningLeft.getAndDecrement() > 0) {
            return Job.Kind.LONG_RUNNING;
        }
        return mFaultyJobs && random.nextInt(JOBS_PER_FAULTY_JOB) == 0
                ? Job.Kind.FAULTY
                : Job.Kind.SHORT;
    }

    private Job submit(HttpClient client, UniformRandomProvider random, Job.Kind kind)
            throws InterruptedException {
        String id = "%08x%08x".formatted(mSeed, mCount.incrementAndGet());
        int tasks =
                kind == Job.Kind.LONG_RUNNING ? LONG_RUNNING_TASKS : 1 + random.nextInt(MAX_TASKS);
        String body = body(random, kind, tasks);
        boolean refused = true;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            String url = mUrls.get(random.nextInt(mUrls.size())) + id;
            HttpJson.Answer answer =
                    HttpJson.call(client, "POST", url, Deployment.QUEUE_HOST, body, CALL_TIMEOUT);
            if (answer.isSuccess()) {
                return new Job(id, kind, tasks, Job.Outcome.ACCEPTED, mTime.getAsLong());
            }
            refused &= answer.status() == 429 || answer.status() == 503;
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
        }
        Job.Outcome outcome = refused ? Job.Outcome.REFUSED : Job.Outcome.UNKNOWN;
        return new Job(id, kind, tasks, outcome, mTime.getAsLong());
    }

    private static String body(UniformRandomProvider random, Job.Kind kind, int tasks) {
        long millis = MIN_TASK_MILLIS + random.nextLong(MAX_TASK_MILLIS - MIN_TASK_MILLIS);
        String spec =
                switch (kind) {
                    case SHORT -> Long.toString(millis);
                    case LONG_RUNNING -> Long.toString(LONG_RUNNING_MILLIS);
                    case FAULTY -> FAULTY_MILLIS + " " + WorkerStandIn.FAILED;
                };
        boolean longRunning = kind == Job.Kind.LONG_RUNNING;
        var job = HttpJson.object().put("spec", spec);
        job.putArray("steps")
                .addObject()
                .put("count", tasks)
                .put("cpu", longRunning ? LONG_RUNNING_MILLI_CPU : 500)
                .put("mem_mb", 500)
                .put("long_running", longRunning)
                .put("estimate_ms", longRunning ? 0 : millis);
        return job.toString();
    }
}
