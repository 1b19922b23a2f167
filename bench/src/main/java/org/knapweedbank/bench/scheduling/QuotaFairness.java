package org.knapweedbank.bench.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.PartitionScheduler;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.SchedulerSettings;
import org.knapweedbank.scheduling.SchedulingDecision;
import org.knapweedbank.scheduling.TeamQuota;
import org.knapweedbank.scheduling.VmDescription;
import org.knapweedbank.scheduling.quota.ShareMode;
import org.knapweedbank.time.ManualClock;

/**
 * Measures how far the usage of a full fleet by each team deviates from the team weights. Half of
 * the teams submit tasks all the time, the other half in bursts; all share modes receive the same
 * submissions.
 */
public final class QuotaFairness implements Benchmark {
    private static final long SEED = 20261204;
    private static final int TEAM_COUNT = 24;
    private static final int VM_COUNT = 60;
    private static final int CORES_PER_VM = 32;
    private static final int DURATION_SECONDS = 6 * 3_600;
    private static final int WARM_UP_SECONDS = 3_600;

    /** Length of the windows over which the short-term deviation is measured. */
    private static final int WINDOW_SECONDS = 900;

    private static final double MEAN_RUNTIME_SECONDS = 60;

    /** Length of a burst and of the pause that follows it. */
    private static final int BURST_SECONDS = 1_800;

    /**
     * Number of pending tasks that a submitting team maintains, so that it always has unmet demand.
     */
    private static final int PENDING_TASKS_PER_TEAM = 200;

    /**
     * End of a running task.
     *
     * @param second simulated second at which the task ends
     * @param task the task
     * @param team number of its team
     */
    private record ScheduledEnd(long second, TaskId task, int team) {}

    /** One run in virtual time with steps of one second. */
    private static final class Simulation {
        private final ManualClock mClock = new ManualClock();
        private final PartitionScheduler mScheduler;
        private final UniformRandomProvider mRandom = RandomSource.XO_SHI_RO_256_PP.create(SEED);
        private final PriorityQueue<ScheduledEnd> mScheduledEnds =
                new PriorityQueue<>((a, b) -> Long.compare(a.second(), b.second()));
        private final int[] mPendingTasks = new int[TEAM_COUNT];
        private final int[] mRunningTasks = new int[TEAM_COUNT];

        /** Core seconds used by each team since the warm-up; every task uses one core. */
        private final double[] mCoreSeconds = new double[TEAM_COUNT];

        /** Core seconds used by each team in the current window. */
        private final double[] mWindowCoreSeconds = new double[TEAM_COUNT];

        private double mWindowDistanceSum;
        private int mWindowCount;
        private double mIdleCoreSeconds;
        private int mNextJobNumber;

        /** Creates an empty fleet whose scheduler uses the given share mode. */
        Simulation(ShareMode mode) {
            mScheduler =
                    new PartitionScheduler(
                            SchedulerSettings.defaults().withShareMode(mode),
                            mClock,
                            RandomSource.XO_SHI_RO_256_PP.create(SEED));
            for (int i = 0; i < VM_COUNT; i++) {
                mScheduler.putVm(
                        new VmDescription(
                                new VmId("vm" + i),
                                new DataCentreId("dc"),
                                "rack" + i / 3,
                                new Resources(CORES_PER_VM * 1_000L, CORES_PER_VM * 1_024L, 0)));
            }
            Map<String, TeamQuota> quotas = new HashMap<>();
            for (int i = 0; i < TEAM_COUNT; i++) {
                quotas.put("team" + i, new TeamQuota(Resources.NONE, weight(i), 0));
            }
            mScheduler.setQuotas(quotas);
        }

        /** Simulates all seconds. */
        void run() {
            for (int second = 0; second < DURATION_SECONDS; second++) {
                mClock.advance(Duration.ofSeconds(1));
                while (!mScheduledEnds.isEmpty() && mScheduledEnds.peek().second() <= second) {
                    ScheduledEnd end = mScheduledEnds.poll();
                    mScheduler.release(end.task());
                    mRunningTasks[end.team()]--;
                }
                for (int team = 0; team < TEAM_COUNT; team++) {
                    submitTasks(team, second);
                }
                scheduleTasks(second);
                if (second >= WARM_UP_SECONDS) {
                    recordUsage(second);
                }
            }
        }

        /** Fills the pending tasks of a team up to its limit if the team submits in this second. */
        private void submitTasks(int team, int second) {
            while (isSubmitting(team, second) && mPendingTasks[team] < PENDING_TASKS_PER_TEAM) {
                mPendingTasks[team]++;
                mScheduler.enqueue(
                        new PendingTask(
                                new TaskId(new JobId("job" + mNextJobNumber++), 0),
                                1,
                                "team" + team,
                                JobKind.BATCH,
                                "batch",
                                new Resources(1_000, 1_024, 0),
                                0,
                                false,
                                mClock.monotonicNanos()));
            }
        }

        /** Schedules pending tasks and draws the runtimes of those that start. */
        private void scheduleTasks(int second) {
            for (SchedulingDecision decision : mScheduler.schedule(Integer.MAX_VALUE)) {
                if (decision instanceof SchedulingDecision.Place place) {
                    int team = Integer.parseInt(place.task().team().substring("team".length()));
                    mPendingTasks[team]--;
                    mRunningTasks[team]++;
                    long runtimeSeconds =
                            1 + (long) (-MEAN_RUNTIME_SECONDS * Math.log(1 - mRandom.nextDouble()));
                    mScheduledEnds.add(
                            new ScheduledEnd(second + runtimeSeconds, place.task().id(), team));
                }
            }
        }

        /** Adds the usage of one second, and the deviation of a window that ends with it. */
        private void recordUsage(int second) {
            int running = 0;
            for (int team = 0; team < TEAM_COUNT; team++) {
                mCoreSeconds[team] += mRunningTasks[team];
                mWindowCoreSeconds[team] += mRunningTasks[team];
                running += mRunningTasks[team];
            }
            mIdleCoreSeconds += VM_COUNT * CORES_PER_VM - running;
            if ((second + 1) % WINDOW_SECONDS == 0) {
                mWindowDistanceSum += distanceFromWeights(mWindowCoreSeconds);
                mWindowCount++;
                java.util.Arrays.fill(mWindowCoreSeconds, 0);
            }
        }
    }

    /** Returns the weight of a team, from 1 to 4. */
    private static double weight(int team) {
        return 1 + team % 4;
    }

    /**
     * Returns whether a team submits tasks: even teams always, odd ones in bursts, half of them out
     * of phase with the others.
     */
    private static boolean isSubmitting(int team, int second) {
        return team % 2 == 0 || (second / BURST_SECONDS + team / 2) % 2 == 0;
    }

    /**
     * Returns half the sum of the absolute differences between the usage shares and the weight
     * shares: 0 for equal shares, 1 for disjoint ones.
     */
    private static double distanceFromWeights(double[] usage) {
        double weightSum = 0;
        double usageSum = 0;
        for (int i = 0; i < TEAM_COUNT; i++) {
            weightSum += weight(i);
            usageSum += usage[i];
        }
        double differenceSum = 0;
        for (int i = 0; i < TEAM_COUNT; i++) {
            differenceSum += Math.abs(usage[i] / usageSum - weight(i) / weightSum);
        }
        return differenceSum / 2;
    }

    @Override
    public String name() {
        return "quota.fairness";
    }

    @Override
    public void run(BenchmarkReport report) {
        List<ShareMode> shareModes = new ArrayList<>(List.of(new ShareMode.ByWeight()));
        for (double penaltyFactor : new double[] {1, 2, 4}) {
            shareModes.add(new ShareMode.TimeAware(penaltyFactor, Duration.ofHours(1)));
        }
        for (ShareMode mode : shareModes) {
            Simulation simulation = new Simulation(mode);
            simulation.run();
            String baseline =
                    mode instanceof ShareMode.TimeAware timeAware
                            ? "time-aware k " + timeAware.k() + ", half-life 1 h"
                            : null;
            String input = "seed " + SEED + ", 24 teams, 1920 cores, 6 h, bursts of 30 min, full";
            double measuredSeconds = DURATION_SECONDS - WARM_UP_SECONDS;
            add(
                    report,
                    "total",
                    distanceFromWeights(simulation.mCoreSeconds),
                    "distance",
                    baseline,
                    input);
            add(
                    report,
                    "quarterHour",
                    simulation.mWindowDistanceSum / simulation.mWindowCount,
                    "distance",
                    baseline,
                    input);
            add(
                    report,
                    "idle",
                    simulation.mIdleCoreSeconds / measuredSeconds,
                    "cores",
                    baseline,
                    input);
        }
    }

    private void add(
            BenchmarkReport report,
            String figure,
            double value,
            String unit,
            String baseline,
            String input) {
        report.add(new Figure(name() + "." + figure, value, unit, null, baseline, input));
    }
}
