package org.knapweedbank.node.agent;

import java.util.List;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.node.agent.RunTable.Run;
import org.knapweedbank.time.Clock;

/** Sets the paces of the fillers on the worker, by the loads of its serving tasks. */
final class FillerThrottle {
    private final Clock mClock;
    private final WorkerClient mWorkerClient;
    private final DecisionLog mLog;
    private final RunTable mRuns;
    private final FillerPacer mPacer = new FillerPacer();

    /** Last logged paces of the fillers, in percent. */
    private List<Integer> mLoggedPaces = List.of();

    FillerThrottle(Clock clock, WorkerClient workerClient, DecisionLog log, RunTable runs) {
        mClock = clock;
        mWorkerClient = workerClient;
        mLog = log;
        mRuns = runs;
    }

    /** Adjusts the paces to the loads in the newest list of runs. */
    void adjust(WorkerId worker, long term) {
        List<Double> loads = mRuns.runs().stream().map(Run::load).filter(load -> load > 0).toList();
        mPacer.observe(mClock.monotonicMillis(), loads, pressure());
        apply(worker, term);
    }

    /** Sets the pace of each running filler that has changed. */
    void apply(WorkerId worker, long term) {
        List<Run> fillers =
                mRuns.runs().stream()
                        .filter(run -> run.mStarted && run.mProfile.pressure() > 0)
                        .toList();
        List<Integer> paces = mPacer.paces(fillers.stream().map(run -> run.mProfile).toList());
        logChange(worker, paces);
        for (int i = 0; i < paces.size(); i++) {
            if (fillers.get(i).mPace != paces.get(i)) {
                setPace(worker, term, fillers.get(i), paces.get(i));
            }
        }
    }

    /** Returns the highest ratio of latency to objective among the serving tasks. */
    private double worstLoad() {
        return mRuns.runs().stream().mapToDouble(Run::load).max().orElse(0);
    }

    /** Returns the utilization that the running fillers would add at full pace. */
    private double pressure() {
        return mRuns.runs().stream()
                .filter(run -> run.mStarted)
                .mapToDouble(run -> run.mProfile.pressure())
                .sum();
    }

    private void logChange(WorkerId worker, List<Integer> paces) {
        if (!paces.equals(mLoggedPaces)) {
            mLog.record(
                    "fillers.pace",
                    worker,
                    "percents",
                    paces,
                    "worst_load",
                    worstLoad(),
                    "pressure",
                    pressure());
            mLoggedPaces = paces;
        }
    }

    private void setPace(WorkerId worker, long term, Run run, int pace) {
        int previousPace = run.mPace;
        run.mPace = pace;
        mWorkerClient.pace(
                worker,
                run.mTask,
                run.mNumber,
                pace,
                term,
                accepted -> {
                    if (!accepted && run.mPace == pace) {
                        run.mPace = previousPace;
                    }
                });
    }
}
