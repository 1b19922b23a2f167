package org.knapweedbank.bench.capacity;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.config.DataCentreSettings;
import org.knapweedbank.config.ServiceSettings;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.config.TeamSettings;
import org.knapweedbank.control.ControlCounters;
import org.knapweedbank.control.ControlSettings;
import org.knapweedbank.control.PartitionController;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PartitionScheduler;
import org.knapweedbank.scheduling.SchedulerSettings;
import org.knapweedbank.time.ManualClock;

/**
 * A partition with the controller and the scheduler of the system, simulated agents and a journal
 * in memory.
 */
final class PartitionModel {
    static final long SEED = 20_261_204L;
    private static final int TEAM_COUNT = 260;
    private static final int TASKS_PER_JOB = 10;

    private final ManualClock mClock = new ManualClock();
    private final FakeAgents mAgents = new FakeAgents();
    private final CountingJournal mJournal = new CountingJournal();
    private PartitionController mController;
    private long mEpoch = 1;
    private int mJobCount;

    /**
     * Creates a partition without tasks.
     *
     * @param vms number of VMs
     */
    PartitionModel(int vms) {
        mController = createController();
        mController.recover(List.of());
        mController.configure(createConfiguration());
        mController.recordConfigurationConfirmation(mClock.monotonicNanos());
        mAgents.connect(mController, vms);
        advanceOneSecond();
    }

    /** Creates a controller without state for the current epoch. */
    private PartitionController createController() {
        return new PartitionController(
                0,
                mEpoch,
                ControlSettings.defaults(),
                mClock,
                new PartitionScheduler(
                        SchedulerSettings.defaults(),
                        mClock,
                        RandomSource.SPLIT_MIX_64.create(SEED)),
                mJournal,
                new ControlCounters(new MetricRegistry()));
    }

    /** Returns a configuration with five data centres, one service and all teams. */
    static SiteConfiguration createConfiguration() {
        List<DataCentreSettings> dataCentres =
                IntStream.range(0, 5)
                        .mapToObj(
                                i ->
                                        new DataCentreSettings(
                                                new DataCentreId("dc-" + i), "region", false))
                        .toList();
        List<TeamSettings> teams =
                IntStream.range(0, TEAM_COUNT)
                        .mapToObj(
                                i ->
                                        new TeamSettings(
                                                "team-" + i,
                                                new Resources(60_000, 200_000, 1),
                                                1,
                                                0))
                        .toList();
        return new SiteConfiguration(
                1,
                "capacity",
                1,
                dataCentres,
                List.of(new ServiceSettings("web", 50, 1_000, 100, Set.of("GET"), false)),
                teams,
                List.of());
    }

    /** Returns the controller of the current owner. */
    PartitionController controller() {
        return mController;
    }

    FakeAgents agents() {
        return mAgents;
    }

    CountingJournal journal() {
        return mJournal;
    }

    /**
     * Submits jobs.
     *
     * @param tasks number of tasks of all jobs together
     */
    void submit(int tasks) {
        for (int submitted = 0; submitted < tasks; submitted += TASKS_PER_JOB) {
            mJobCount++;
            JobSpec spec =
                    new JobSpec(
                            new JobId("job-" + mJobCount),
                            "team-" + mJobCount % TEAM_COUNT,
                            JobKind.BATCH,
                            "class-" + mJobCount % 20,
                            Math.min(TASKS_PER_JOB, tasks - submitted),
                            new Resources(1_000, 4_000, 0),
                            0,
                            false,
                            60,
                            3,
                            List.of("program", "argument-" + mJobCount));
            mController.submit(spec, false, result -> {});
        }
        mJournal.commit();
    }

    /** Places pending tasks, reports the started attempts as running and returns their number. */
    int scheduleAndReportStarts() {
        mController.schedule();
        mJournal.commit();
        return mAgents.reportRunning(mController, mEpoch);
    }

    /** Ends up to the given number of tasks and returns their number. */
    int finishTasks(int limit) {
        int finished = mAgents.finishAttempts(mController, mEpoch, limit);
        mJournal.commit();
        return finished;
    }

    /**
     * Advances the clock by a second, sends the heartbeats of all agents and runs the periodic work
     * of the controller.
     */
    void advanceOneSecond() {
        mClock.advance(Duration.ofSeconds(1));
        mController.recordConfigurationConfirmation(mClock.monotonicNanos());
        mAgents.sendHeartbeats(mController, mEpoch);
        mController.tick();
        mJournal.commit();
    }

    /**
     * Replaces the owner by a new one, which recovers from the journal, and connects all agents to
     * it.
     */
    void failOver() {
        mEpoch++;
        mController = createController();
        mController.recover(mJournal.replay());
        mController.configure(createConfiguration());
        mController.recordConfigurationConfirmation(mClock.monotonicNanos());
        mAgents.reconnect(mController);
        mJournal.commit();
    }
}
