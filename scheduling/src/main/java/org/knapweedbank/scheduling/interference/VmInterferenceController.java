package org.knapweedbank.scheduling.interference;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.scheduling.InterferenceAction;
import org.knapweedbank.scheduling.UsageObservation;
import org.knapweedbank.scheduling.placement.TaskAllocation;
import org.knapweedbank.scheduling.placement.VmState;

/**
 * Throttles the batch tasks of one VM in steps while a service on the VM misses its latency
 * objective, and evicts a batch task if throttling does not help. Samples taken before the latest
 * step are ignored when deciding about the next one, so that delayed measurements do not cause
 * several steps for one cause.
 */
final class VmInterferenceController {
    /** Share of their CPU time that the batch tasks may use at each throttling step. */
    private static final double[] CPU_SHARES = {1, 0.5, 0.25, 0.1};

    /** Ratio of latency to objective above which throttling is increased. */
    private static final double HIGH_LATENCY_RATIO = 1;

    /** Ratio of latency to objective above which a single sample is sufficient. */
    private static final double VERY_HIGH_LATENCY_RATIO = 2;

    /** Ratio of latency to objective below which throttling may be reduced. */
    private static final double LOW_LATENCY_RATIO = 0.8;

    /** Number of consecutive high samples after which the throttling step is raised. */
    private static final int MIN_HIGH_SAMPLES = 2;

    /** Number of consecutive low samples after which the throttling step may be lowered. */
    private static final int MIN_LOW_SAMPLES = 5;

    /** Maximum age of a sample; older ones do not describe the present load. */
    private static final long MAX_SAMPLE_AGE_NANOS = Duration.ofSeconds(60).toNanos();

    /** Time until a step affects the measured latency, in addition to the delay of the samples. */
    private static final long SETTLING_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Minimum time before the throttling step may be lowered; doubled if lowering was too early.
     */
    private static final long INITIAL_HOLD_NANOS = Duration.ofSeconds(15).toNanos();

    private static final long MAX_HOLD_NANOS = Duration.ofMinutes(5).toNanos();

    /** Weight of one sample in the penalty of a pair of classes. */
    private static final double PENALTY_SAMPLE_WEIGHT = 0.1;

    private final VmState mVm;
    private final InterferencePenalties mPenalties;
    private final Map<TaskId, Long> mLastSampleNanos = new HashMap<>();
    private final Map<TaskId, Double> mAppliedShares = new HashMap<>();
    private int mThrottleStep;
    private int mHighSamples;
    private int mLowSamples;
    private double mLatestRatio;
    private long mStepChangedNanos = Long.MIN_VALUE / 2;
    private long mStepLoweredNanos = Long.MIN_VALUE / 2;
    private long mHoldNanos = INITIAL_HOLD_NANOS;

    VmInterferenceController(VmState vm, InterferencePenalties penalties) {
        mVm = vm;
        mPenalties = penalties;
    }

    /** Adds a sample of a service. Outdated, duplicate and reordered samples are ignored. */
    void addSample(TaskAllocation service, UsageObservation sample, long now) {
        Long last = mLastSampleNanos.get(sample.task());
        if (last != null && sample.sampledNanos() <= last
                || now - sample.sampledNanos() > MAX_SAMPLE_AGE_NANOS
                || sample.objectiveMicros() <= 0) {
            return;
        }
        mLastSampleNanos.put(sample.task(), sample.sampledNanos());
        if (sample.sampledNanos() < mStepChangedNanos + SETTLING_NANOS) {
            return;
        }
        double ratio = (double) sample.p99Micros() / sample.objectiveMicros();
        mLatestRatio = ratio;
        if (ratio > HIGH_LATENCY_RATIO) {
            mHighSamples++;
            mLowSamples = 0;
        } else {
            mHighSamples = 0;
            mLowSamples = ratio < LOW_LATENCY_RATIO ? mLowSamples + 1 : 0;
        }
        updatePenalties(service, ratio);
    }

    private void updatePenalties(TaskAllocation service, double ratio) {
        double observed = Math.max(0, Math.min(1, ratio - HIGH_LATENCY_RATIO));
        for (int i = 0; i < mVm.batchClasses().size(); i++) {
            mPenalties.observe(
                    service.classNumber(),
                    mVm.batchClasses().classAt(i),
                    observed,
                    PENALTY_SAMPLE_WEIGHT * CPU_SHARES[mThrottleStep]);
        }
    }

    /**
     * Decides about throttling and eviction based on the added samples. Must be called after each
     * batch of samples.
     */
    List<InterferenceAction> decide(long now) {
        List<InterferenceAction> actions = new ArrayList<>();
        List<TaskAllocation> batchTasks = new ArrayList<>();
        for (TaskAllocation task : mVm.allocations()) {
            if (task.task().kind() == JobKind.BATCH && !task.ending()) {
                batchTasks.add(task);
            }
        }
        removeEndedTasks();
        if (mHighSamples >= MIN_HIGH_SAMPLES
                || mHighSamples > 0 && mLatestRatio > VERY_HIGH_LATENCY_RATIO) {
            raiseStepOrEvict(batchTasks, actions, now);
        } else if (mThrottleStep > 0
                && mLowSamples >= MIN_LOW_SAMPLES
                && now - mStepChangedNanos >= mHoldNanos) {
            setStep(mThrottleStep - 1, now);
            mStepLoweredNanos = now;
        }
        applyThrottling(batchTasks, actions);
        return actions;
    }

    private void raiseStepOrEvict(
            List<TaskAllocation> batchTasks, List<InterferenceAction> actions, long now) {
        if (batchTasks.isEmpty()) {
            return;
        }
        // If latency is high again soon after a step was lowered, the step was lowered too early.
        mHoldNanos =
                now - mStepLoweredNanos < 2 * mHoldNanos
                        ? Math.min(2 * mHoldNanos, MAX_HOLD_NANOS)
                        : INITIAL_HOLD_NANOS;
        if (mThrottleStep < CPU_SHARES.length - 1) {
            setStep(mThrottleStep + 1, now);
            return;
        }
        TaskAllocation worst =
                batchTasks.stream().max(Comparator.comparingDouble(this::interferenceScore)).get();
        batchTasks.remove(worst);
        actions.add(new InterferenceAction.Evict(worst.task().id(), mVm.id()));
        setStep(mThrottleStep, now);
    }

    private void setStep(int step, long now) {
        mThrottleStep = step;
        mStepChangedNanos = now;
        mHighSamples = 0;
        mLowSamples = 0;
    }

    /**
     * Returns the learned penalty of a task with the services of the VM. Its reserved CPU time
     * breaks ties.
     */
    private double interferenceScore(TaskAllocation task) {
        double sum = 0;
        for (int i = 0; i < mVm.serviceClasses().size(); i++) {
            sum += mPenalties.cost(mVm.serviceClasses().classAt(i), task.classNumber());
        }
        return sum + task.reserved().milliCpu() * 1e-9;
    }

    private void applyThrottling(
            Collection<TaskAllocation> batchTasks, List<InterferenceAction> actions) {
        for (TaskAllocation task : batchTasks) {
            TaskId id = task.task().id();
            if (mAppliedShares.getOrDefault(id, 1.0) != CPU_SHARES[mThrottleStep]) {
                mAppliedShares.put(id, CPU_SHARES[mThrottleStep]);
                actions.add(
                        new InterferenceAction.Throttle(id, mVm.id(), CPU_SHARES[mThrottleStep]));
            }
        }
    }

    private void removeEndedTasks() {
        mAppliedShares.keySet().removeIf(id -> !mVm.holds(id));
        mLastSampleNanos.keySet().removeIf(id -> !mVm.holds(id));
    }

    boolean isThrottled(TaskId task) {
        return mAppliedShares.getOrDefault(task, 1.0) < 1;
    }

    VmState vm() {
        return mVm;
    }
}
