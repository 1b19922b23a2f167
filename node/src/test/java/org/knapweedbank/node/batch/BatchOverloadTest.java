package org.knapweedbank.node.batch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.knapweedbank.node.batch.BatchLoad.LoadJob;

/** Tests which jobs end in time when more batch work arrives than the VMs can run. */
class BatchOverloadTest {
    private static final List<Long> VM_CAPACITIES_MILLI_CPU =
            LongStream.range(0, 11).mapToObj(i -> i < 8 ? 32_000L : 48_000L).toList();
    private static final int SERVING_JOBS = 9;
    private static final int TASKS_PER_SERVING_JOB = 6;
    private static final long SERVING_TASK_MILLI_CPU = 6_200;
    private static final double JOBS_PER_SECOND = 1.4;
    private static final Duration ARRIVAL_PERIOD = Duration.ofSeconds(34);
    private static final Duration SIMULATED_TIME = Duration.ofSeconds(48);
    private static final int SEEDS = 8;

    /** Minimum share of the fillers' processor time that goes into jobs which end in time. */
    private static final double MIN_SHARE_IN_TIME = 0.5;

    /** Core-milliseconds that fillers used in jobs that ended in time, and in all jobs. */
    private record Outcome(double usedInTime, double used) {}

    private static Outcome simulate(long seed) throws IOException {
        BatchLoad load = new BatchLoad(seed);
        List<LoadJob> jobs = load.jobs(ARRIVAL_PERIOD, JOBS_PER_SECOND);
        BatchWorld world = new BatchWorld(VM_CAPACITIES_MILLI_CPU, seed);
        for (int i = 0; i < SERVING_JOBS; i++) {
            TaskProfile task = new TaskProfile(SERVING_TASK_MILLI_CPU, 0, 0, load.randomPhase());
            world.addServingTasks(
                    String.format("%016x", 1_000 + i),
                    Collections.nCopies(TASKS_PER_SERVING_JOB, task));
        }
        world.run(jobs, SIMULATED_TIME);
        double used = jobs.stream().mapToDouble(job -> world.usedCoreMillis(job.id())).sum();
        double usedInTime =
                jobs.stream()
                        .filter(job -> endedInTime(world, job))
                        .mapToDouble(job -> world.usedCoreMillis(job.id()))
                        .sum();
        return new Outcome(usedInTime, used);
    }

    private static boolean endedInTime(BatchWorld world, LoadJob job) {
        Long elapsedMillis = world.mElapsedMillis.get(job.id());
        return elapsedMillis != null && elapsedMillis <= job.objectiveMillis();
    }

    /** Guards against processor time divided among so many jobs that none of them ends in time. */
    @Test
    void halfOfTheProcessorTimeGoesIntoJobsThatEndInTime() throws IOException {
        double usedInTime = 0;
        double used = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Outcome outcome = simulate(seed);
            usedInTime += outcome.usedInTime();
            used += outcome.used();
        }
        assertWithMessage("share of the fillers' processor time")
                .that(usedInTime / used)
                .isAtLeast(0.5);
    }
}
