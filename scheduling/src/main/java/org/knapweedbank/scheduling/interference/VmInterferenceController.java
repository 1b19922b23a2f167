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
import org.knapweedbank.scheduling.placement.LedgerTask;
import org.knapweedbank.scheduling.placement.VmSlot;

/**
 * Limits the batch tasks of one VM in steps while a service on it misses its latency objective, and
 * evicts one when the limits do not help. Samples taken before the last step are ignored for the
 * next, so a lag in the measurements does not lead to several steps for one cause.
 */
final class VmInterferenceController {
    /** Shares of processor time that the batch tasks may use, step by step. */
    private static final double[] SHARES = {1, 0.5, 0.25, 0.1};

    /** Latency against the objective above which the next step is taken. */
    private static final double HIGH = 1;

    /** Latency against the objective above which one sample is enough. */
    private static final double VERY_HIGH = 2;

    /** Latency against the objective below which a step may be taken back. */
    private static final double LOW = 0.8;

    private static final int HIGH_SAMPLES = 2;
    private static final int LOW_SAMPLES = 5;

    /** Samples older than this say nothing about the present. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(60).toNanos();

    /** Time that a step takes to show in the latency, beyond the lag of the samples. */
    private static final long SETTLE_NANOS = Duration.ofSeconds(1).toNanos();

    private static final long FIRST_HOLD_NANOS = Duration.ofSeconds(15).toNanos();
    private static final long LAST_HOLD_NANOS = Duration.ofMinutes(5).toNanos();

    /** Weight of one sample in the penalty of a pair. */
    private static final double LEARNING_WEIGHT = 0.1;

    private final VmSlot mSlot;
    private final PairPenalties mPenalties;
    private final Map<TaskId, Long> mLastSample = new HashMap<>();
    private final Map<TaskId, Double> mApplied = new HashMap<>();
    private int mStep;
    private int mHigh;
    private int mLow;
    private double mWorst;
    private long mChangedNanos = Long.MIN_VALUE / 2;
    private long mLoweredNanos = Long.MIN_VALUE / 2;
    private long mHoldNanos = FIRST_HOLD_NANOS;

    VmInterferenceController(VmSlot slot, PairPenalties penalties) {
        mSlot = slot;
        mPenalties = penalties;
    }

    /** Takes in a sample of a service; late, doubled and reordered ones are ignored. */
    void accept(LedgerTask service, UsageObservation sample, long now) {
        Long last = mLastSample.get(sample.task());
        if (last != null && sample.sampledNanos() <= last
                || now - sample.sampledNanos() > MAX_AGE_NANOS
                || sample.objectiveMicros() <= 0) {
            return;
        }
        mLastSample.put(sample.task(), sample.sampledNanos());
        if (sample.sampledNanos() < mChangedNanos + SETTLE_NANOS) {
            return;
        }
        double ratio = (double) sample.p99Micros() / sample.objectiveMicros();
        mWorst = ratio;
        if (ratio > HIGH) {
            mHigh++;
            mLow = 0;
        } else {
            mHigh = 0;
            mLow = ratio < LOW ? mLow + 1 : 0;
        }
        learn(service, ratio);
    }

    private void learn(LedgerTask service, double ratio) {
        double observed = Math.max(0, Math.min(1, ratio - HIGH));
        for (int i = 0; i < mSlot.batchClasses().size(); i++) {
            mPenalties.observe(
                    service.classNumber(),
                    mSlot.batchClasses().classAt(i),
                    observed,
                    LEARNING_WEIGHT * SHARES[mStep]);
        }
    }

    /** Decides on the samples taken in; to be called after each group of samples. */
    List<InterferenceAction> decide(long now) {
        List<InterferenceAction> actions = new ArrayList<>();
        List<LedgerTask> batch = new ArrayList<>();
        for (LedgerTask task : mSlot.tasks()) {
            if (task.task().kind() == JobKind.BATCH && !task.ending()) {
                batch.add(task);
            }
        }
        forgetEnded();
        if (mHigh >= HIGH_SAMPLES || mHigh > 0 && mWorst > VERY_HIGH) {
            raise(batch, actions, now);
        } else if (mStep > 0 && mLow >= LOW_SAMPLES && now - mChangedNanos >= mHoldNanos) {
            change(mStep - 1, now);
            mLoweredNanos = now;
        }
        throttle(batch, actions);
        return actions;
    }

    private void raise(List<LedgerTask> batch, List<InterferenceAction> actions, long now) {
        if (batch.isEmpty()) {
            return;
        }
        // A relapse soon after a step back means that the step came too early.
        mHoldNanos =
                now - mLoweredNanos < 2 * mHoldNanos
                        ? Math.min(2 * mHoldNanos, LAST_HOLD_NANOS)
                        : FIRST_HOLD_NANOS;
        if (mStep < SHARES.length - 1) {
            change(mStep + 1, now);
            return;
        }
        LedgerTask worst = batch.stream().max(Comparator.comparingDouble(this::blame)).get();
        batch.remove(worst);
        actions.add(new InterferenceAction.Evict(worst.task().id(), mSlot.id()));
        change(mStep, now);
    }

    private void change(int step, long now) {
        mStep = step;
        mChangedNanos = now;
        mHigh = 0;
        mLow = 0;
    }

    /** Learned penalty of a task with the services of the VM, then its processor time. */
    private double blame(LedgerTask task) {
        double sum = 0;
        for (int i = 0; i < mSlot.serviceClasses().size(); i++) {
            sum += mPenalties.cost(mSlot.serviceClasses().classAt(i), task.classNumber());
        }
        return sum + task.reserved().milliCpu() * 1e-9;
    }

    private void throttle(Collection<LedgerTask> batch, List<InterferenceAction> actions) {
        for (LedgerTask task : batch) {
            TaskId id = task.task().id();
            if (mApplied.getOrDefault(id, 1.0) != SHARES[mStep]) {
                mApplied.put(id, SHARES[mStep]);
                actions.add(new InterferenceAction.Throttle(id, mSlot.id(), SHARES[mStep]));
            }
        }
    }

    private void forgetEnded() {
        mApplied.keySet().removeIf(id -> !mSlot.holds(id));
        mLastSample.keySet().removeIf(id -> !mSlot.holds(id));
    }

    boolean throttled(TaskId task) {
        return mApplied.getOrDefault(task, 1.0) < 1;
    }

    VmSlot slot() {
        return mSlot;
    }
}
