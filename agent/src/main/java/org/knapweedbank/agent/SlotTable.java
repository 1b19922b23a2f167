package org.knapweedbank.agent;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.LoadReport;

/**
 * Slots and connections of one upstream with a short queue. A request takes a slot and a connection
 * while it runs; an event stream gives its slot back once its head has arrived and keeps the
 * connection. Not thread-safe.
 *
 * @param <T> type of the requests
 */
final class SlotTable<T> {
    /** Queued requests for each slot; more would wait longer than a caller's patience. */
    static final int QUEUE_PER_SLOT = 2;

    /** Weight of the newest sample in the moving average of the service time. */
    private static final double AVERAGE_WEIGHT = 0.1;

    /** Result of an offer. */
    enum Admission {
        /** The request has a slot and starts now. */
        START,
        /** The request waits. */
        QUEUED,
        /** The queue, or the connections for streams, are exhausted. */
        FULL,
        /** The request would probably not start before its deadline. */
        LATE,
        /** The upstream takes no new work. */
        LEAVING
    }

    private record Waiting<T>(T request, long deadlineNanos) {}

    private final Clock mClock;
    private final Deque<Waiting<T>> mQueue = new ArrayDeque<>();
    private final Map<Admission, Long> mRefused = new EnumMap<>(Admission.class);
    private int mSlots;
    private int mConnections;
    private int mRunning;
    private int mStreams;
    private boolean mLeaving;
    private double mServiceNanos;

    SlotTable(int slots, int connections, Clock clock) {
        mSlots = slots;
        mConnections = connections;
        mClock = clock;
    }

    void resize(int slots, int connections) {
        mSlots = slots;
        mConnections = connections;
    }

    void leaving(boolean leaving) {
        mLeaving = leaving;
    }

    /** Admits, queues or refuses a request; a refusal is counted. */
    Admission offer(T request, long deadlineNanos, boolean stream) {
        Admission admission = decide(deadlineNanos, stream);
        switch (admission) {
            case START -> mRunning++;
            case QUEUED -> mQueue.add(new Waiting<>(request, deadlineNanos));
            default -> mRefused.merge(admission, 1L, Long::sum);
        }
        return admission;
    }

    /** Takes the next queued request if it can run; those past their deadline are passed on. */
    Optional<T> next(Consumer<T> late) {
        dropLate(late);
        if (mQueue.isEmpty() || !slotFree()) {
            return Optional.empty();
        }
        mRunning++;
        return Optional.of(mQueue.poll().request());
    }

    /** Removes the queued requests whose deadline has passed, wherever they stand. */
    void dropLate(Consumer<T> late) {
        long now = mClock.monotonicNanos();
        List<T> dropped = new ArrayList<>();
        mQueue.removeIf(
                waiting -> {
                    boolean expired = waiting.deadlineNanos() - now <= 0;
                    if (expired) {
                        dropped.add(waiting.request());
                    }
                    return expired;
                });
        if (!dropped.isEmpty()) {
            mRefused.merge(Admission.LATE, (long) dropped.size(), Long::sum);
            dropped.forEach(late);
        }
    }

    boolean cancel(T request) {
        return mQueue.removeIf(waiting -> waiting.request() == request);
    }

    /** Frees slot and connection of a request that was answered. */
    void finished(Duration serviceTime) {
        mRunning--;
        double nanos = serviceTime.toNanos();
        mServiceNanos =
                mServiceNanos == 0
                        ? nanos
                        : mServiceNanos + AVERAGE_WEIGHT * (nanos - mServiceNanos);
    }

    /** Frees slot and connection of a request that was not answered. */
    void abandoned() {
        mRunning--;
    }

    /** Frees the slot of a running request that has become a stream. */
    void becameStream() {
        mRunning--;
        mStreams++;
    }

    void streamEnded() {
        mStreams--;
    }

    /** True if nothing runs, waits or streams. */
    boolean isIdle() {
        return mRunning == 0 && mStreams == 0 && mQueue.isEmpty();
    }

    int streams() {
        return mStreams;
    }

    LoadReport load() {
        return new LoadReport(
                mRunning, mQueue.size(), mSlots, (long) (mServiceNanos / 1000), mLeaving);
    }

    long refused(Admission reason) {
        return mRefused.getOrDefault(reason, 0L);
    }

    private Admission decide(long deadlineNanos, boolean stream) {
        long remaining = deadlineNanos - mClock.monotonicNanos();
        if (mLeaving) {
            return Admission.LEAVING;
        }
        if (remaining <= 0) {
            return Admission.LATE;
        }
        if (stream && mStreams >= Math.max(1, mConnections - mSlots)) {
            return Admission.FULL;
        }
        if (mQueue.isEmpty() && slotFree()) {
            return Admission.START;
        }
        if (mQueue.size() >= QUEUE_PER_SLOT * mSlots) {
            return Admission.FULL;
        }
        double expectedWait = (mQueue.size() + 1) * mServiceNanos / mSlots;
        return expectedWait > remaining ? Admission.LATE : Admission.QUEUED;
    }

    private boolean slotFree() {
        return mRunning < mSlots && mRunning + mStreams < mConnections;
    }
}
