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
 * Distance of the teams' use of a full fleet from their weights. Half of the teams submit all the
 * time, the other half in bursts; all rules see the same submissions.
 */
public final class QuotaFairness implements Benchmark {
    private static final long SEED = 20261204;
    private static final int TEAMS = 24;
    private static final int VMS = 60;
    private static final int CORES = 32;
    private static final int SECONDS = 6 * 3_600;
    private static final int WARM_SECONDS = 3_600;
    private static final int WINDOW_SECONDS = 900;
    private static final double MEAN_LIFE_SECONDS = 60;

    /** Length of a burst and of the pause after it. */
    private static final int BURST_SECONDS = 1_800;

    /** Pending tasks that a submitting team keeps up, so that its demand never ends. */
    private static final int BACKLOG = 200;

    private record End(long second, TaskId task, int team) {}

    /** One run on virtual time with steps of a second. */
    private static final class Run {
        private final ManualClock mClock = new ManualClock();
        private final PartitionScheduler mScheduler;
        private final UniformRandomProvider mRandom = RandomSource.XO_SHI_RO_256_PP.create(SEED);
        private final PriorityQueue<End> mEnds =
                new PriorityQueue<>((a, b) -> Long.compare(a.second(), b.second()));
        private final int[] mPending = new int[TEAMS];
        private final int[] mRunning = new int[TEAMS];
        private final double[] mTotal = new double[TEAMS];
        private final double[] mWindow = new double[TEAMS];
        private double mWindowDistance;
        private int mWindows;
        private double mIdle;
        private int mNext;

        Run(ShareMode mode) {
            mScheduler =
                    new PartitionScheduler(
                            SchedulerSettings.defaults().withShareMode(mode),
                            mClock,
                            RandomSource.XO_SHI_RO_256_PP.create(SEED));
            for (int i = 0; i < VMS; i++) {
                mScheduler.putVm(
                        new VmDescription(
                                new VmId("vm" + i),
                                new DataCentreId("dc"),
                                "rack" + i / 3,
                                new Resources(CORES * 1_000L, CORES * 1_024L, 0)));
            }
            Map<String, TeamQuota> quotas = new HashMap<>();
            for (int i = 0; i < TEAMS; i++) {
                quotas.put("team" + i, new TeamQuota(Resources.NONE, weight(i), 0));
            }
            mScheduler.setQuotas(quotas);
        }

        void run() {
            for (int second = 0; second < SECONDS; second++) {
                mClock.advance(Duration.ofSeconds(1));
                while (!mEnds.isEmpty() && mEnds.peek().second() <= second) {
                    End end = mEnds.poll();
                    mScheduler.release(end.task());
                    mRunning[end.team()]--;
                }
                for (int team = 0; team < TEAMS; team++) {
                    submit(team, second);
                }
                place(second);
                if (second >= WARM_SECONDS) {
                    count(second);
                }
            }
        }

        private void submit(int team, int second) {
            while (submits(team, second) && mPending[team] < BACKLOG) {
                mPending[team]++;
                mScheduler.enqueue(
                        new PendingTask(
                                new TaskId(new JobId("job" + mNext++), 0),
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

        private void place(int second) {
            for (SchedulingDecision decision : mScheduler.schedule(Integer.MAX_VALUE)) {
                if (decision instanceof SchedulingDecision.Place place) {
                    int team = Integer.parseInt(place.task().team().substring("team".length()));
                    mPending[team]--;
                    mRunning[team]++;
                    long life =
                            1 + (long) (-MEAN_LIFE_SECONDS * Math.log(1 - mRandom.nextDouble()));
                    mEnds.add(new End(second + life, place.task().id(), team));
                }
            }
        }

        private void count(int second) {
            int running = 0;
            for (int team = 0; team < TEAMS; team++) {
                mTotal[team] += mRunning[team];
                mWindow[team] += mRunning[team];
                running += mRunning[team];
            }
            mIdle += VMS * CORES - running;
            if ((second + 1) % WINDOW_SECONDS == 0) {
                mWindowDistance += distance(mWindow);
                mWindows++;
                java.util.Arrays.fill(mWindow, 0);
            }
        }
    }

    private static double weight(int team) {
        return 1 + team % 4;
    }

    /** Even teams submit all the time, odd ones in bursts of which half are out of phase. */
    private static boolean submits(int team, int second) {
        return team % 2 == 0 || (second / BURST_SECONDS + team / 2) % 2 == 0;
    }

    /** Half the sum of the differences between shares of use and of weight: 0 equal, 1 disjoint. */
    private static double distance(double[] use) {
        double weights = 0;
        double uses = 0;
        for (int i = 0; i < TEAMS; i++) {
            weights += weight(i);
            uses += use[i];
        }
        double sum = 0;
        for (int i = 0; i < TEAMS; i++) {
            sum += Math.abs(use[i] / uses - weight(i) / weights);
        }
        return sum / 2;
    }

    @Override
    public String name() {
        return "quota.fairness";
    }

    @Override
    public void run(BenchmarkReport report) {
        List<ShareMode> modes = new ArrayList<>(List.of(new ShareMode.Plain()));
        for (double k : new double[] {1, 2, 4}) {
            modes.add(new ShareMode.TimeAware(k, Duration.ofHours(1)));
        }
        for (ShareMode mode : modes) {
            Run run = new Run(mode);
            run.run();
            String baseline =
                    mode instanceof ShareMode.TimeAware aware
                            ? "time-aware k " + aware.k() + ", half-life 1 h"
                            : null;
            String input = "seed " + SEED + ", 24 teams, 1920 cores, 6 h, bursts of 30 min, full";
            double measured = SECONDS - WARM_SECONDS;
            add(report, "total", distance(run.mTotal), "distance", baseline, input);
            add(
                    report,
                    "quarterHour",
                    run.mWindowDistance / run.mWindows,
                    "distance",
                    baseline,
                    input);
            add(report, "idle", run.mIdle / measured, "cores", baseline, input);
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
