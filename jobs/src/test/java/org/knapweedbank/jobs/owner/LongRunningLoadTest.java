package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.model.DaemonId;

/**
 * Test of long-running tasks under a seeded load in virtual time. One of six VMs after the other is
 * drained, and its long-running tasks restart elsewhere, while more urgent batch jobs of 7 and 5
 * cores arrive.
 */
class LongRunningLoadTest {
    private static final long TICK_MILLIS = 20;
    private static final long MILLIS = 60_000;

    /** Longest wait of a long-running task for which a VM has room, with one round of placement. */
    private static final long MAX_WAIT_MILLIS = 1_000 + TICK_MILLIS;

    private static final long[] VM_MILLI_CPU = {8_000, 12_000, 16_000, 8_000, 12_000, 16_000};
    private static final long SERVICE_MILLI_CPU = 2_000;
    private static final int SERVICES = 8;

    /** Time for which a VM is drained before the next one is. */
    private static final long DRAIN_MILLIS = 4_000;

    private record End(long mAt, OwnerFixture.Order mOrder) {}

    private final OwnerFixture mFixture = new OwnerFixture(MixedLoad.scheduling(true));
    private final String[] mVms =
            IntStream.range(0, VM_MILLI_CPU.length).mapToObj(i -> "vm" + i).toArray(String[]::new);
    private final long[] mFreeMilliCpu = VM_MILLI_CPU.clone();

    /** Time since which each service waits. */
    private final Map<String, Long> mWaitingSince = new HashMap<>();

    private final PriorityQueue<End> mEnds =
            new PriorityQueue<>(Comparator.comparingLong(End::mAt));

    /** Runs of services by VM. */
    private final Map<String, List<OwnerFixture.Order>> mServiceRuns = new HashMap<>();

    private int mHandledStarts;
    private int mDrainedVm = -1;
    private long mNextDrainAt;
    private int mBatchJobs;
    private Random mRandom;

    private long now() {
        return mFixture.mClock.monotonicMillis();
    }

    private double exponential(double mean) {
        return -Math.log(1 - mRandom.nextDouble()) * mean;
    }

    private static String jobOf(OwnerFixture.Order order) {
        return order.mTask().job().value();
    }

    private static long milliCpu(String job) {
        return switch (job.charAt(0)) {
            case 's' -> SERVICE_MILLI_CPU;
            case 'l' -> 7_000;
            default -> 5_000;
        };
    }

    private void addFree(OwnerFixture.Order order, int sign) {
        int vm = Arrays.asList(mVms).indexOf(order.mVm().value());
        mFreeMilliCpu[vm] += sign * milliCpu(jobOf(order));
    }

    private void submit(String job) {
        if (job.startsWith("service")) {
            mFixture.submit(
                    job, MixedLoad.SMALL, OwnerFixture.servingStep(1, SERVICE_MILLI_CPU, -1));
            mWaitingSince.put(job, now());
        } else {
            mFixture.submit(job, OwnerFixture.step(1, milliCpu(job), StepTraits.BATCH));
        }
    }

    private void submitBatch(String kind, double perSecond) {
        if (mRandom.nextDouble() < perSecond * TICK_MILLIS / 1_000) {
            submit(kind + mBatchJobs++);
        }
    }

    private void handleStarts() {
        for (; mHandledStarts < mFixture.mStarts.size(); mHandledStarts++) {
            OwnerFixture.Order order = mFixture.mStarts.get(mHandledStarts);
            mFixture.reportStarted(order);
            addFree(order, -1);
            if (jobOf(order).startsWith("service")) {
                mWaitingSince.remove(jobOf(order));
                mServiceRuns
                        .computeIfAbsent(order.mVm().value(), vm -> new ArrayList<>())
                        .add(order);
            } else {
                mEnds.add(new End(now() + (long) exponential(1_000), order));
            }
        }
    }

    private void endRuns() {
        while (!mEnds.isEmpty() && mEnds.peek().mAt() <= now()) {
            end(mEnds.poll().mOrder(), EndKind.DONE);
        }
    }

    private void end(OwnerFixture.Order order, EndKind kind) {
        addFree(order, 1);
        mFixture.reportEnd(order, kind, "");
        handleStarts();
    }

    /** Takes the drained VM back into service and drains the next one. */
    private void drainNextVm() {
        if (now() < mNextDrainAt) {
            return;
        }
        mNextDrainAt = now() + DRAIN_MILLIS;
        if (mDrainedVm >= 0) {
            setDraining(mDrainedVm, false);
        }
        mDrainedVm = (mDrainedVm + 1) % mVms.length;
        setDraining(mDrainedVm, true);
        List<OwnerFixture.Order> runs = mServiceRuns.remove(mVms[mDrainedVm]);
        if (runs != null) {
            runs.forEach(order -> mWaitingSince.put(jobOf(order), now()));
            runs.forEach(order -> end(order, EndKind.STOPPED));
        }
    }

    private void setDraining(int vm, boolean draining) {
        mFixture.mOwner.handleWorkerUpdate(
                new DaemonId(mVms[vm]),
                OwnerFixture.worker(mVms[vm], 1, VM_MILLI_CPU[vm], draining));
    }

    /** Returns the longest wait of a service that a round has left waiting beside free room. */
    private long longestWaitWithRoom() {
        boolean room =
                IntStream.range(0, mVms.length)
                        .anyMatch(vm -> vm != mDrainedVm && mFreeMilliCpu[vm] >= SERVICE_MILLI_CPU);
        return room ? mWaitingSince.values().stream().mapToLong(t -> now() - t).max().orElse(0) : 0;
    }

    /** Guards against reservations that keep free room from a long-running task for seconds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void longRunningTasksUseFreeRoom(long seed) {
        mRandom = new Random(seed);
        mFixture.mOwner.configure(MixedLoad.queues());
        IntStream.range(0, mVms.length).forEach(i -> mFixture.addVm(mVms[i], VM_MILLI_CPU[i]));
        IntStream.range(0, SERVICES).forEach(i -> submit("service" + i));
        long end = now() + MILLIS;
        long longest = 0;
        while (now() < end) {
            submitBatch("large", 4);
            submitBatch("usual", 8);
            mFixture.storeAndSchedule();
            handleStarts();
            mFixture.advanceTime(Duration.ofMillis(TICK_MILLIS), mVms);
            handleStarts();
            longest = Math.max(longest, longestWaitWithRoom());
            endRuns();
            drainNextVm();
        }
        assertWithMessage("longest wait with room").that(longest).isAtMost(MAX_WAIT_MILLIS);
    }
}
