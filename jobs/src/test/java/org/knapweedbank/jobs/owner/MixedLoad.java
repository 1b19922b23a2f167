package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.QueueKey;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.jobs.admission.AdmissionSettings;
import org.knapweedbank.jobs.reservation.ReservationSettings;
import org.knapweedbank.model.Resources;

/**
 * A seeded load in virtual time on VMs of unlike size: small tasks that arrive steadily, and urgent
 * large ones that need most of a VM. The declared run times are inaccurate.
 */
final class MixedLoad {
    /** How less urgent tasks are treated while a large task waits. */
    enum Policy {
        BEST_FIT,
        STRICT_ORDER,
        RESERVATIONS
    }

    /** Waits for the start of the large and of the small tasks, in milliseconds, ascending. */
    record Waits(List<Long> mLarge, List<Long> mSmall) {
        static double mean(List<Long> waits) {
            return waits.stream().mapToLong(Long::longValue).average().orElse(0);
        }

        static long quantile(List<Long> waits, double quantile) {
            return waits.get((int) Math.min(waits.size() - 1, quantile * waits.size()));
        }
    }

    private record Arrival(long mAt, String mId, long mMilliCpu, long mMillis, long mDeclared) {
        boolean large() {
            return mId.startsWith("large");
        }
    }

    private record End(long mAt, OwnerFixture.Order mOrder) {}

    static final QueueKey SMALL = new QueueKey("example", "/small/");
    private static final long TICK_MILLIS = 20;
    private static final long ARRIVALS_MILLIS = 40_000;
    private static final long[] VM_MILLI_CPU = {8_000, 12_000, 16_000};
    private static final double DECLARED_ERROR = 0.9;

    private final OwnerFixture mFixture;
    private final Policy mPolicy;
    private final String[] mVms;
    private final Deque<Arrival> mArrivals;
    private final Deque<Arrival> mHeldBack = new ArrayDeque<>();
    private final Map<String, Arrival> mWaiting = new HashMap<>();
    private final Map<String, Arrival> mAll = new HashMap<>();
    private final Map<String, Long> mUsed = new HashMap<>();
    private final PriorityQueue<End> mEnds =
            new PriorityQueue<>(Comparator.comparingLong(End::mAt));
    private final Waits mWaits = new Waits(new ArrayList<>(), new ArrayList<>());
    private final long mStart;
    private int mHandledStarts;

    MixedLoad(Policy policy, long seed, int vms, double smallPerSecond) {
        mPolicy = policy;
        mFixture = new OwnerFixture(scheduling(policy == Policy.RESERVATIONS));
        mFixture.mOwner.configure(queues());
        mVms = IntStream.range(0, vms).mapToObj(i -> "vm" + i).toArray(String[]::new);
        IntStream.range(0, vms)
                .forEach(i -> mFixture.addVm(mVms[i], VM_MILLI_CPU[i % VM_MILLI_CPU.length]));
        mStart = now();
        mArrivals = arrivals(new Random(seed), smallPerSecond, vms / 12.0);
    }

    /** Returns settings with reservations on or off. */
    static SchedulingSettings scheduling(boolean enabled) {
        return scheduling(enabled, ReservationSettings.DISABLED.maxTasks());
    }

    /** Returns settings with reservations on or off, for a maximum number of tasks. */
    static SchedulingSettings scheduling(boolean enabled, int maxTasks) {
        ReservationSettings off = ReservationSettings.DISABLED;
        return new SchedulingSettings(
                new ReservationSettings(enabled, maxTasks, off.maxHold(), off.maxDelay()),
                AdmissionSettings.DISABLED);
    }

    /** Returns the usual queue, which is urgent, and one of less urgent small tasks. */
    static List<JobQueue> queues() {
        JobQueue urgent = OwnerFixture.queue(2);
        return List.of(
                urgent,
                new JobQueue(SMALL, "svc", 2, 2, 2, urgent.latencyTarget(), urgent.timeout()));
    }

    private Deque<Arrival> arrivals(Random random, double smallPerSecond, double largePerSecond) {
        List<Arrival> arrivals = new ArrayList<>();
        add(arrivals, random, "small", smallPerSecond, 1_500, 2_000);
        add(arrivals, random, "large", largePerSecond, 7_000, 3_000);
        arrivals.sort(Comparator.comparingLong(Arrival::mAt));
        return new ArrayDeque<>(arrivals);
    }

    private void add(
            List<Arrival> arrivals,
            Random random,
            String kind,
            double perSecond,
            long milliCpu,
            long millis) {
        double at = mStart;
        for (int i = 0; at < mStart + ARRIVALS_MILLIS; i++) {
            at -= Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            double share = 0.5 + random.nextDouble();
            long actual = (long) (millis * (0.2 + 1.6 * random.nextDouble()));
            double error = Math.exp(DECLARED_ERROR * random.nextGaussian());
            long cpu = kind.equals("large") ? milliCpu : (long) (milliCpu * share);
            arrivals.add(
                    new Arrival((long) at, kind + i, cpu, actual, 1 + (long) (actual * error)));
        }
    }

    private long now() {
        return mFixture.mClock.monotonicMillis();
    }

    /** Runs the load until all tasks have started. */
    Waits run() {
        while (!mArrivals.isEmpty() || !mHeldBack.isEmpty() || !mWaiting.isEmpty()) {
            if (now() - mStart > 5 * ARRIVALS_MILLIS) {
                throw new AssertionError("tasks do not start: " + mWaiting);
            }
            mFixture.advanceTime(Duration.ofMillis(TICK_MILLIS), mVms);
            handleStarts();
            while (!mEnds.isEmpty() && mEnds.peek().mAt() <= now()) {
                OwnerFixture.Order order = mEnds.poll().mOrder();
                mUsed.merge(order.mVm().value(), -cpu(order), Long::sum);
                mFixture.reportEnd(order, EndKind.DONE, "");
                handleStarts();
            }
            while (!mArrivals.isEmpty() && mArrivals.peek().mAt() <= now()) {
                Arrival arrival = mArrivals.poll();
                if (mPolicy == Policy.STRICT_ORDER && !arrival.large()) {
                    mHeldBack.add(arrival);
                } else {
                    submit(arrival);
                }
            }
            mFixture.storeAndSchedule();
            handleStarts();
            while (!mHeldBack.isEmpty() && mWaiting.isEmpty()) {
                submit(mHeldBack.poll());
            }
        }
        mWaits.mLarge().sort(null);
        mWaits.mSmall().sort(null);
        return mWaits;
    }

    private long cpu(OwnerFixture.Order order) {
        return mAll.get(order.mTask().job().value()).mMilliCpu();
    }

    private void submit(Arrival arrival) {
        mAll.put(arrival.mId(), arrival);
        mWaiting.put(arrival.mId(), arrival);
        StepSpec step =
                new StepSpec(
                        1,
                        new Resources(arrival.mMilliCpu(), 100, 0),
                        Duration.ofMillis(arrival.mDeclared()),
                        List.of(),
                        StepTraits.BATCH,
                        PlacementRule.ANYWHERE,
                        "",
                        Duration.ZERO,
                        -1);
        mFixture.submit(arrival.mId(), arrival.large() ? OwnerFixture.QUEUE : SMALL, step);
        mFixture.storeAndSchedule();
        handleStarts();
    }

    private void handleStarts() {
        for (; mHandledStarts < mFixture.mStarts.size(); mHandledStarts++) {
            OwnerFixture.Order order = mFixture.mStarts.get(mHandledStarts);
            Arrival arrival = mWaiting.remove(order.mTask().job().value());
            (arrival.large() ? mWaits.mLarge() : mWaits.mSmall()).add(now() - arrival.mAt());
            mEnds.add(new End(now() + arrival.mMillis(), order));
            long used = mUsed.merge(order.mVm().value(), arrival.mMilliCpu(), Long::sum);
            int vm = Integer.parseInt(order.mVm().value().substring(2));
            if (used > VM_MILLI_CPU[vm % VM_MILLI_CPU.length]) {
                throw new AssertionError("VM over its capacity: " + order);
            }
        }
    }
}
