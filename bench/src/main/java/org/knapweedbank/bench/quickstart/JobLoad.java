package org.knapweedbank.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Submits batch jobs and waits for their end. */
final class JobLoad {
    static final int TASKS_PER_JOB = 3;
    static final String PREFIX = "batch-";

    private final Deployment mDeployment;
    private final StandinClient mClient;
    private int mSubmitted;

    JobLoad(Deployment deployment, StandinClient client) {
        mDeployment = deployment;
        mClient = client;
    }

    int submitted() {
        return mSubmitted;
    }

    /** Submits jobs; every third submission is sent twice, which must not double the job. */
    void submit(int count, int taskMillis, int milliCpu) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            mSubmitted++;
            Map<String, Object> job = job(PREFIX + mSubmitted, taskMillis, milliCpu);
            post(job);
            if (mSubmitted % 3 == 0) {
                post(job);
            }
        }
    }

    private void post(Map<String, Object> job) throws IOException, InterruptedException {
        mClient.operator("POST", operatorPort(), "/v1/jobs", Deployment.OPERATOR_KEY, job);
    }

    private int operatorPort() {
        List<Deployment.Entry> entries = mDeployment.entries();
        return entries.get(mSubmitted % entries.size()).operators();
    }

    private static Map<String, Object> job(String id, int taskMillis, int milliCpu) {
        return Map.of(
                "id",
                id,
                "team",
                "research",
                "kind",
                "batch",
                "taskClass",
                "rebalance",
                "tasks",
                TASKS_PER_JOB,
                "resources",
                Map.of("milliCpu", milliCpu, "memoryMb", 512),
                "command",
                List.of("simulate", "--millis", Integer.toString(taskMillis)));
    }

    /** Number of submitted jobs that the system reports as finished. */
    int finished() throws IOException, InterruptedException {
        JsonNode jobs =
                mClient.operator("GET", operatorPort(), "/v1/jobs", Deployment.OPERATOR_KEY, null);
        int finished = 0;
        for (JsonNode job : jobs.path("jobs")) {
            boolean own = job.path("id").asText().startsWith(PREFIX);
            if (own && job.path("state").asText().equals("finished")) {
                finished++;
            }
        }
        return finished;
    }

    /** Waits until all jobs have finished, or the deadline. */
    boolean awaitFinished(long deadlineMillis) throws IOException, InterruptedException {
        int finished = finished();
        while (finished < mSubmitted && System.currentTimeMillis() < deadlineMillis) {
            Thread.sleep(200);
            finished = finished();
        }
        return finished == mSubmitted;
    }
}
