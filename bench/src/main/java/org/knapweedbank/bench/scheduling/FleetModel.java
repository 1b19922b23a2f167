package org.knapweedbank.bench.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.TeamQuota;
import org.knapweedbank.scheduling.VmDescription;

/** Creates random VMs, quotas and tasks from a seed, in the proportions of the target size. */
final class FleetModel {
    /** Number of worker VMs at the target size. */
    static final int TARGET_WORKERS = 1_900;

    /** Number of running tasks at the target size, of which one in eight belongs to a service. */
    static final int TARGET_TASKS = 48_000;

    private static final int TEAM_COUNT = 260;
    private static final int DATA_CENTRE_COUNT = 5;
    private static final int VMS_PER_RACK = 3;

    /** One in this number of tasks belongs to a service. */
    private static final int TASKS_PER_SERVICE_TASK = 8;

    private static final int BATCH_CLASS_COUNT = 20;
    private static final int SERVICE_CLASS_COUNT = 10;
    private static final int TASKS_PER_JOB = 12;

    /**
     * Share of VMs with accelerators: 275 VMs with 8 each give 2,200 accelerators among 1,900 VMs.
     */
    private static final double ACCELERATOR_VM_SHARE = 275.0 / TARGET_WORKERS;

    private static final int ACCELERATORS_PER_VM = 8;

    /**
     * Share of batch tasks that use accelerators: about 1,450 of 42,000 tasks, with 1.3
     * accelerators each on average.
     */
    private static final double ACCELERATOR_TASK_SHARE = 0.035;

    private final UniformRandomProvider mRandom;
    private int mNextTaskNumber;

    FleetModel(long seed) {
        mRandom = RandomSource.XO_SHI_RO_256_PP.create(seed);
    }

    /** Returns the random number generator of the model, which the caller may draw from as well. */
    UniformRandomProvider random() {
        return mRandom;
    }

    /** Creates the given number of VMs; the ones with accelerators are spread evenly over them. */
    List<VmDescription> createVms(int workers) {
        List<VmDescription> vms = new ArrayList<>();
        int acceleratedVms = (int) Math.round(workers * ACCELERATOR_VM_SHARE);
        for (int i = 0; i < workers; i++) {
            boolean large = mRandom.nextBoolean();
            // Spreads the accelerators evenly: VM i has some if the quotient rises from i to i + 1.
            boolean withAccelerators =
                    (long) (i + 1) * acceleratedVms / workers > (long) i * acceleratedVms / workers;
            vms.add(
                    new VmDescription(
                            new VmId("vm" + i),
                            new DataCentreId("dc" + i % DATA_CENTRE_COUNT),
                            "rack" + i / DATA_CENTRE_COUNT / VMS_PER_RACK,
                            new Resources(
                                    large || withAccelerators ? 64_000 : 32_000,
                                    large || withAccelerators ? 250_000 : 125_000,
                                    withAccelerators ? ACCELERATORS_PER_VM : 0)));
        }
        return vms;
    }

    /** Creates quotas of all teams for a fleet with the given number of VMs. */
    Map<String, TeamQuota> createQuotas(int workers) {
        Map<String, TeamQuota> quotas = new HashMap<>();
        Resources deservedPerTeam =
                new Resources(
                        workers * 30_000L / TEAM_COUNT,
                        workers * 120_000L / TEAM_COUNT,
                        (int) (workers * ACCELERATOR_VM_SHARE * ACCELERATORS_PER_VM / TEAM_COUNT));
        for (int i = 0; i < TEAM_COUNT; i++) {
            quotas.put("team" + i, new TeamQuota(deservedPerTeam, 1 + mRandom.nextInt(4), i % 3));
        }
        return quotas;
    }

    /**
     * Creates a random task. Consecutive tasks with the same kind share a job.
     *
     * @param nowNanos submission time
     */
    PendingTask nextTask(long nowNanos) {
        int taskNumber = mNextTaskNumber++;
        boolean isService = mRandom.nextInt(TASKS_PER_SERVICE_TASK) == 0;
        String jobName = (isService ? "s" : "b") + taskNumber / TASKS_PER_JOB;
        Resources resources = isService ? nextServiceRequest() : nextBatchRequest();
        String taskClass =
                isService
                        ? "service" + mRandom.nextInt(SERVICE_CLASS_COUNT)
                        : "batch" + mRandom.nextInt(BATCH_CLASS_COUNT);
        return new PendingTask(
                new TaskId(new JobId(jobName), taskNumber % TASKS_PER_JOB),
                1,
                "team" + mRandom.nextInt(TEAM_COUNT),
                isService ? JobKind.SERVICE : JobKind.BATCH,
                taskClass,
                resources,
                mRandom.nextInt(4),
                false,
                nowNanos);
    }

    /** Returns the random resource request of a service task. */
    private Resources nextServiceRequest() {
        return new Resources(1_000L << mRandom.nextInt(2), 2_048L << mRandom.nextInt(3), 0);
    }

    /** Returns the random resource request of a batch task, some with accelerators. */
    private Resources nextBatchRequest() {
        if (mRandom.nextDouble() < ACCELERATOR_TASK_SHARE) {
            int count = mRandom.nextInt(10) < 8 ? 1 : 2 << mRandom.nextInt(2);
            return new Resources(4_000L * count, 16_384L * count, count);
        }
        return new Resources(500L * (1 + mRandom.nextInt(5)), 1_024L * (1 + mRandom.nextInt(9)), 0);
    }
}
