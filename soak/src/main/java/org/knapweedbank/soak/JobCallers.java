package org.knapweedbank.soak;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Callers that submit jobs of short tasks all along. Each one keeps its connections to the entries
 * open until the entries close them, and repeats a submission without an answer at any entry.
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

    private final List<String> mUrls;
    private final long mSeed;
    private final AtomicInteger mCount = new AtomicInteger();
    private final List<Job> mJobs = new ArrayList<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopped;

    JobCallers(List<String> urls, long seed) {
        mUrls = urls;
        mSeed = seed;
    }

    void start() {
        for (int i = 0; i < CALLERS; i++) {
            UniformRandomProvider random =
                    RandomSource.XO_RO_SHI_RO_128_PP.create(mSeed * CALLERS + i);
            mThreads.add(Thread.ofPlatform().daemon().start(() -> submitAll(random)));
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

    private void submitAll(UniformRandomProvider random) {
        HttpClient client = HttpJson.client();
        try {
            while (!mStopped) {
                Job job = submit(client, random);
                synchronized (mJobs) {
                    mJobs.add(job);
                }
                TimeUnit.MILLISECONDS.sleep(random.nextLong(MAX_JOB_INTERVAL_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Job submit(HttpClient client, UniformRandomProvider random)
            throws InterruptedException {
        String id = "%08x%08x".formatted(mSeed, mCount.incrementAndGet());
        String body = body(random);
        boolean refused = true;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            String url = mUrls.get(random.nextInt(mUrls.size())) + id;
            HttpJson.Answer answer =
                    HttpJson.call(client, "POST", url, Deployment.QUEUE_HOST, body, CALL_TIMEOUT);
            if (answer.isSuccess()) {
                return new Job(id, Job.Outcome.ACCEPTED);
            }
            refused &= answer.status() == 429 || answer.status() == 503;
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
        }
        return new Job(id, refused ? Job.Outcome.REFUSED : Job.Outcome.UNKNOWN);
    }

    private static String body(UniformRandomProvider random) {
        long millis = MIN_TASK_MILLIS + random.nextLong(MAX_TASK_MILLIS - MIN_TASK_MILLIS);
        var job = HttpJson.object().put("spec", Long.toString(millis));
        job.putArray("steps")
                .addObject()
                .put("count", 1 + random.nextInt(MAX_TASKS))
                .put("cpu", 500)
                .put("mem_mb", 500)
                .put("estimate_ms", millis);
        return job.toString();
    }
}
