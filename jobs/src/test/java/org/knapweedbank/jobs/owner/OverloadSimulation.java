package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.JobState;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.model.DaemonId;

/**
 * Simulation of callers that submit more work than the VMs can do, in virtual time. Refused callers
 * return after the given time, rounded up to seconds, up to four times.
 */
final class OverloadSimulation {
    /** Decides which jobs are refused. */
    enum Policy {
        /** No job is refused. */
        ACCEPT_ALL,
        /** A job is refused while there is a fixed number of unfinished jobs. */
        BOUND,
        /** The owner decides. */
        ADMISSION
    }

    private static final Duration STEP = Duration.ofMillis(100);
    private static final int VMS = 4;
    private static final long VM_MILLI_CPU = 8_000;
    private static final int MAX_RETURNS = 4;
    private static final int BOUND_JOBS = 24;
    private static final Duration BOUND_RETRY_AFTER = Duration.ofSeconds(2);

    /** Time after the last arrival in which callers return and their jobs end. */
    private static final Duration AFTER_ARRIVALS = Duration.ofSeconds(60);

    /** Length of a burst, which is the end of each period. */
    static final long BURST_MILLIS = 5_000;

    private static final long BURST_PERIOD_MILLIS = 30_000;
    private static final int LATE_FACTOR = 3;

    /** Run time of the tasks of jobs that a test has submitted itself, in milliseconds. */
    private static final long DEFAULT_TASK_MILLIS = 1_000;

    private final Random mRandom;
    private final Policy mPolicy;
    private final OwnerFixture mFixture;
    private final String[] mVms =
            IntStream.range(0, VMS).mapToObj(i -> "vm-" + i).toArray(String[]::new);
    private final List<Caller> mCallers = new ArrayList<>();
    private final Map<String, Caller> mCallersById = new HashMap<>();
    private final List<RunningTask> mRunning = new ArrayList<>();
    private long mTimeMillis;
    private int mOrdersSeen;

    /** Caller with one job. */
    static final class Caller {
        private final String mId;
        private final StepSpec[] mSteps;
        private final long mTaskMillis;
        private long mNextAttemptAt;
        private long mFirstRefusedAt = Long.MAX_VALUE;
        private int mReturns;
        private Job mJob;
        private long mAcceptedAt = -1;
        private long mServedAfter = Long.MAX_VALUE;

        private Caller(String id, StepSpec[] steps, long taskMillis, long arrivalMillis) {
            mId = id;
            mSteps = steps;
            mTaskMillis = taskMillis;
            mNextAttemptAt = arrivalMillis;
        }

        private long objectiveMillis() {
            return 2 * mSteps.length * mTaskMillis + 1_000;
        }

        boolean served(int objectives) {
            return mServedAfter <= objectives * objectiveMillis();
        }

        /** Returns whether the job was accepted but not served within its late limit. */
        boolean waitedInVain() {
            return mAcceptedAt >= 0 && !served(LATE_FACTOR);
        }

        boolean accepted() {
            return mAcceptedAt >= 0;
        }

        private int tasks() {
            return Arrays.stream(mSteps).mapToInt(StepSpec::count).sum();
        }

        /** Returns whether a job of the same size or a larger one came later and went first. */
        private boolean overtakenBy(Caller other) {
            long until = accepted() ? mAcceptedAt : mNextAttemptAt;
            return !other.returned()
                    && other.tasks() >= tasks()
                    && other.mAcceptedAt > mFirstRefusedAt
                    && other.mAcceptedAt < until;
        }

        boolean returned() {
            return mReturns > 0;
        }
    }

    /**
     * Service that callers got.
     *
     * @param inObjective share of the callers that were served within their objective
     * @param inLateLimit share that was served within the late limit
     * @param vainSeconds time until the late limits of accepted jobs that did not meet them
     * @param refusals number of refusals
     * @param returnersAccepted share of the refused callers that were accepted later
     * @param overtakers mean number of newcomers with a job of at least the same size that were
     *     accepted while a refused caller was waiting to return
     */
    record Result(
            double inObjective,
            double inLateLimit,
            double vainSeconds,
            int refusals,
            double returnersAccepted,
            double overtakers) {}

    private record RunningTask(OwnerFixture.Order order, long endsAt) {}

    OverloadSimulation(Policy policy, long seed) {
        mPolicy = policy;
        mRandom = new Random(seed);
        mFixture = policy == Policy.ADMISSION ? OwnerFixture.withAdmission() : new OwnerFixture();
        for (String vm : mVms) {
            mFixture.addVm(vm, VM_MILLI_CPU);
        }
    }

    /** Runs a load until all callers have given up or their limits have passed. */
    Result run(double jobsPerSecond, double burstFactor, Duration arrivals) {
        addCallers(jobsPerSecond, burstFactor, arrivals);
        advance(arrivals.plus(AFTER_ARRIVALS));
        return result();
    }

    /** Returns the fixture, for its log. */
    OwnerFixture fixture() {
        return mFixture;
    }

    /** Returns the agents of the VMs. */
    String[] vms() {
        return mVms;
    }

    /** Returns the number of refusals. */
    int refusals() {
        return mFixture.logLines("admission.refused").size();
    }

    /** Lets callers arrive for some time from now on. */
    void addCallers(double jobsPerSecond, double burstFactor, Duration arrivals) {
        double atMillis = 0;
        while (atMillis < arrivals.toMillis()) {
            boolean burst = atMillis % BURST_PERIOD_MILLIS > BURST_PERIOD_MILLIS - BURST_MILLIS;
            double rate = jobsPerSecond * (burst ? burstFactor : 1);
            atMillis -= Math.log(1 - mRandom.nextDouble()) * 1_000 / rate;
            long taskMillis = (long) (1_000 * Math.exp(0.5 * mRandom.nextGaussian()));
            String id = "j" + mCallers.size();
            Caller caller = new Caller(id, steps(), taskMillis, mTimeMillis + (long) atMillis);
            mCallers.add(caller);
            mCallersById.put(id, caller);
        }
    }

    private StepSpec[] steps() {
        StepSpec first = OwnerFixture.step(4 + mRandom.nextInt(13), 1_000, StepTraits.BATCH);
        StepSpec second = OwnerFixture.step(4 + mRandom.nextInt(13), 1_000, StepTraits.BATCH, 0);
        return mRandom.nextBoolean() ? new StepSpec[] {first, second} : new StepSpec[] {first};
    }

    /** Runs the simulation for some time. */
    void advance(Duration time) {
        long endMillis = mTimeMillis + time.toMillis();
        while (mTimeMillis < endMillis) {
            mTimeMillis += STEP.toMillis();
            mFixture.advanceTime(STEP, mVms);
            endTasks();
            mCallers.stream().filter(this::isDue).forEach(this::submit);
            mFixture.storeAndSchedule();
            startTasks();
            mCallers.forEach(this::recordCompletion);
        }
    }

    /** Lets all running tasks stand still for some time. */
    void stall(Duration time) {
        mRunning.replaceAll(task -> new RunningTask(task.order(), task.endsAt() + time.toMillis()));
    }

    /** Suspends the owner for some time, while tasks and callers go on. */
    void pause(Duration time) {
        mTimeMillis += time.toMillis();
        mFixture.advanceTime(time, mVms);
    }

    /** Ends a VM with all that runs on it. */
    void loseVm(String vm) {
        mRunning.removeIf(task -> task.order().mVm().value().equals(vm));
        mFixture.mOwner.handleNoWorker(new DaemonId(vm), "lost");
    }

    private boolean isDue(Caller caller) {
        return !caller.accepted()
                && caller.mReturns <= MAX_RETURNS
                && caller.mNextAttemptAt <= mTimeMillis;
    }

    private void submit(Caller caller) {
        switch (decide(caller)) {
            case SubmitResult.Known known -> {
                caller.mJob = known.job();
                caller.mAcceptedAt = mTimeMillis;
            }
            case SubmitResult.Overloaded refused -> {
                caller.mReturns++;
                caller.mFirstRefusedAt = Math.min(caller.mFirstRefusedAt, mTimeMillis);
                caller.mNextAttemptAt =
                        mTimeMillis + (refused.retryAfter().toMillis() + 999) / 1_000 * 1_000;
            }
            case SubmitResult.Refused refused -> throw new AssertionError(refused.reason());
        }
    }

    private SubmitResult decide(Caller caller) {
        long unfinished =
                mCallers.stream().filter(c -> c.mJob != null && !c.mJob.finished()).count();
        if (mPolicy == Policy.BOUND && unfinished >= BOUND_JOBS) {
            return new SubmitResult.Overloaded("too many jobs", BOUND_RETRY_AFTER);
        }
        return mFixture.trySubmit(caller.mId, caller.mSteps);
    }

    private void startTasks() {
        List<OwnerFixture.Order> orders = mFixture.mStarts;
        while (mOrdersSeen < orders.size()) {
            OwnerFixture.Order order = orders.get(mOrdersSeen++);
            mFixture.reportStarted(order);
            Caller caller = mCallersById.get(order.mTask().job().value());
            long taskMillis = caller == null ? DEFAULT_TASK_MILLIS : caller.mTaskMillis;
            mRunning.add(new RunningTask(order, mTimeMillis + taskMillis));
        }
    }

    private void endTasks() {
        List<RunningTask> ended =
                mRunning.stream().filter(task -> task.endsAt() <= mTimeMillis).toList();
        mRunning.removeAll(ended);
        ended.forEach(task -> mFixture.reportEnd(task.order(), EndKind.DONE, ""));
        startTasks();
    }

    /** Ends all running tasks, without a round of placement after it. */
    void endAllBetweenRounds() {
        mRunning.forEach(task -> mFixture.reportEndBetweenRounds(task.order(), EndKind.DONE, ""));
        mRunning.clear();
    }

    private void recordCompletion(Caller caller) {
        if (caller.mJob != null
                && caller.mServedAfter == Long.MAX_VALUE
                && caller.mJob.state() == JobState.COMPLETED) {
            caller.mServedAfter = mTimeMillis - caller.mAcceptedAt;
        }
    }

    private Result result() {
        List<Caller> returners = mCallers.stream().filter(Caller::returned).toList();
        return new Result(
                share(mCallers, caller -> caller.served(1)),
                share(mCallers, caller -> caller.served(LATE_FACTOR)),
                mCallers.stream()
                                .filter(Caller::waitedInVain)
                                .mapToLong(caller -> LATE_FACTOR * caller.objectiveMillis())
                                .sum()
                        / 1_000.0,
                mCallers.stream().mapToInt(caller -> caller.mReturns).sum(),
                share(returners, Caller::accepted),
                returners.stream()
                        .mapToLong(r -> mCallers.stream().filter(r::overtakenBy).count())
                        .average()
                        .orElse(0));
    }

    private static double share(List<Caller> callers, Predicate<Caller> condition) {
        return callers.isEmpty()
                ? 0
                : (double) callers.stream().filter(condition).count() / callers.size();
    }
}
