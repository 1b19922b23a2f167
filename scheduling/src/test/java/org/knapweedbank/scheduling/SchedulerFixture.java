package org.knapweedbank.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.time.ManualClock;

/** Scheduler with a manual clock, and helper methods to create VMs and tasks. */
final class SchedulerFixture {
    final ManualClock mClock = new ManualClock();
    final PartitionScheduler mScheduler;
    private final Map<TaskId, VmId> mPlaced = new HashMap<>();

    SchedulerFixture() {
        this(SchedulerSettings.defaults());
    }

    SchedulerFixture(SchedulerSettings settings) {
        mScheduler =
                new PartitionScheduler(settings, mClock, RandomSource.XO_SHI_RO_256_PP.create(1L));
    }

    static Resources cores(int cores) {
        return new Resources(cores * 1_000L, cores * 1_024L, 0);
    }

    VmId addVm(String id, String dataCentre, int cores) {
        VmId vm = new VmId(id);
        mScheduler.putVm(
                new VmDescription(vm, new DataCentreId(dataCentre), "r" + id, cores(cores)));
        return vm;
    }

    PendingTask task(String job, int index, String team, JobKind kind, int cores, boolean urgent) {
        return new PendingTask(
                new TaskId(new JobId(job), index),
                1,
                team,
                kind,
                kind == JobKind.SERVICE ? "svc" : "batch",
                cores(cores),
                0,
                urgent,
                mClock.monotonicNanos());
    }

    PendingTask batchTask(String job, int index, int cores) {
        return task(job, index, "team", JobKind.BATCH, cores, false);
    }

    PendingTask enqueue(PendingTask task) {
        mScheduler.enqueue(task);
        return task;
    }

    List<SchedulingDecision> schedule() {
        List<SchedulingDecision> decisions = mScheduler.schedule(Integer.MAX_VALUE);
        for (SchedulingDecision decision : decisions) {
            if (decision instanceof SchedulingDecision.Place place) {
                mPlaced.put(place.task().id(), place.vm());
            }
        }
        return decisions;
    }

    /** Schedules all tasks and returns the identifiers of the placed ones in order. */
    List<String> placements() {
        List<String> placed = new ArrayList<>();
        for (SchedulingDecision decision : schedule()) {
            if (decision instanceof SchedulingDecision.Place place) {
                placed.add(place.task().id().toString());
            }
        }
        return placed;
    }

    VmId vmOf(PendingTask task) {
        return mPlaced.get(task.id());
    }

    void advance(Duration duration) {
        mClock.advance(duration);
    }
}
