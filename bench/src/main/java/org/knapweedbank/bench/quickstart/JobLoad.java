package org.knapweedbank.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Submits batch jobs and waits until they have finished. */
final class JobLoad {
    static final int TASKS_PER_JOB = 3;

    /** Prefix of the identifiers of all jobs of the quickstart. */
    static final String JOB_ID_PREFIX = "batch-";

    private final Deployment mDeployment;
    private final StandinClient mClient;
    private int mSubmittedJobs;

    JobLoad(Deployment deployment, StandinClient client) {
        mDeployment = deployment;
        mClient = client;
    }

    /** Returns the number of submitted jobs, not counting repeated submissions. */
    int submittedJobs() {
        return mSubmittedJobs;
    }

    /**
     * Submits jobs. Submits every third job twice, which must not create a second job.
     *
     * @param count number of jobs
     * @param taskMillis runtime of a task
     * @param milliCpu processor request of a task, in thousandths of a core
     */
    void submit(int count, int taskMillis, int milliCpu) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            mSubmittedJobs++;
            Map<String, Object> job =
                    createJob(JOB_ID_PREFIX + mSubmittedJobs, taskMillis, milliCpu);
            postJob(job);
            if (mSubmittedJobs % 3 == 0) {
                postJob(job);
            }
        }
    }

    private void postJob(Map<String, Object> job) throws IOException, InterruptedException {
        mClient.callOperatorRoute("POST", operatorPort(), "/v1/jobs", Deployment.OPERATOR_KEY, job);
    }

    /** Returns the operator port of an entry, in rotation by the number of submitted jobs. */
    private int operatorPort() {
        List<Deployment.Entry> entries = mDeployment.entries();
        return entries.get(mSubmittedJobs % entries.size()).operatorPort();
    }

    private static Map<String, Object> createJob(String id, int taskMillis, int milliCpu) {
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

    /** Returns the number of submitted jobs that the entry reports as finished. */
    int countFinishedJobs() throws IOException, InterruptedException {
        JsonNode jobs =
                mClient.callOperatorRoute(
                        "GET", operatorPort(), "/v1/jobs", Deployment.OPERATOR_KEY, null);
        int finishedJobs = 0;
        for (JsonNode job : jobs.path("jobs")) {
            boolean isOwn = job.path("id").asText().startsWith(JOB_ID_PREFIX);
            if (isOwn && job.path("state").asText().equals("finished")) {
                finishedJobs++;
            }
        }
        return finishedJobs;
    }

    /**
     * Waits until all submitted jobs have finished.
     *
     * @param deadlineMillis wall time at which the wait ends
     * @return false if not all jobs finished before the deadline
     */
    boolean awaitFinished(long deadlineMillis) throws IOException, InterruptedException {
        int finishedJobs = countFinishedJobs();
        while (finishedJobs < mSubmittedJobs && System.currentTimeMillis() < deadlineMillis) {
            Thread.sleep(200);
            finishedJobs = countFinishedJobs();
        }
        return finishedJobs == mSubmittedJobs;
    }
}
