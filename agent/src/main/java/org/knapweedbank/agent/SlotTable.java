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
 * Admission control for one upstream: limits running requests to the upstream's slots and
 * connections, and queues a few more. A running request occupies a slot and a connection; an event
 * stream releases its slot once its response head has arrived and keeps the connection. Not
 * thread-safe.
 *
 * @param <T> type of the requests
 */
final class SlotTable<T> {
    /**
     * Maximum number of queued requests per slot; more would wait longer than callers usually do.
     */
    static final int MAX_QUEUED_PER_SLOT = 2;

    /** Weight of the newest sample in the moving average of the service time. */
    private static final double AVERAGE_WEIGHT = 0.1;

    /** Result of offering a request for admission. */
    enum Admission {
        /** The request has a slot and starts immediately. */
        START,
        /** The request waits in the queue. */
        QUEUED,
        /** The queue is full, or too many event streams are open. */
        FULL,
        /** The deadline has passed, or is expected to pass before the request starts. */
        LATE,
        /** The upstream is leaving and accepts no new requests. */
        LEAVING
    }

    private record QueuedRequest<T>(T request, long deadlineNanos) {}

    private final Clock mClock;
    private final Deque<QueuedRequest<T>> mQueue = new ArrayDeque<>();
    private final Map<Admission, Long> mRefusalCounts = new EnumMap<>(Admission.class);
    private int mSlots;
    private int mConnections;
    private int mRunningCount;
    private int mStreamCount;
    private boolean mLeaving;
    private double mAverageServiceNanos;

    SlotTable(int slots, int connections, Clock clock) {
        mSlots = slots;
        mConnections = connections;
        mClock = clock;
    }

    void resize(int slots, int connections) {
        mSlots = slots;
        mConnections = connections;
    }

    void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /** Admits, queues or refuses a request, and counts refusals by reason. */
    Admission offer(T request, long deadlineNanos, boolean stream) {
        Admission admission = decideAdmission(deadlineNanos, stream);
        switch (admission) {
            case START -> mRunningCount++;
            case QUEUED -> mQueue.add(new QueuedRequest<>(request, deadlineNanos));
            default -> mRefusalCounts.merge(admission, 1L, Long::sum);
        }
        return admission;
    }

    /**
     * Removes and returns the next queued request if a slot is free. Queued requests past their
     * deadline are passed to {@code onExpired} first.
     */
    Optional<T> pollNext(Consumer<T> onExpired) {
        dropExpired(onExpired);
        if (mQueue.isEmpty() || !hasFreeSlot()) {
            return Optional.empty();
        }
        mRunningCount++;
        return Optional.of(mQueue.poll().request());
    }

    /**
     * Removes all queued requests whose deadline has passed, at any position in the queue, and
     * passes them to {@code onExpired}.
     */
    void dropExpired(Consumer<T> onExpired) {
        long now = mClock.monotonicNanos();
        List<T> dropped = new ArrayList<>();
        mQueue.removeIf(
                queued -> {
                    boolean expired = queued.deadlineNanos() - now <= 0;
                    if (expired) {
                        dropped.add(queued.request());
                    }
                    return expired;
                });
        if (!dropped.isEmpty()) {
            mRefusalCounts.merge(Admission.LATE, (long) dropped.size(), Long::sum);
            dropped.forEach(onExpired);
        }
    }

    /** Removes a request from the queue; returns false if it is not queued. */
    boolean cancel(T request) {
        return mQueue.removeIf(queued -> queued.request() == request);
    }

    /**
     * Releases the slot and connection of a request that was answered.
     *
     * @param serviceTime time from forwarding the request until the end of the answer
     */
    void completeRequest(Duration serviceTime) {
        mRunningCount--;
        double nanos = serviceTime.toNanos();
        mAverageServiceNanos =
                mAverageServiceNanos == 0
                        ? nanos
                        : mAverageServiceNanos + AVERAGE_WEIGHT * (nanos - mAverageServiceNanos);
    }

    /** Releases the slot and connection of a request that was not answered. */
    void abandonRequest() {
        mRunningCount--;
    }

    /**
     * Releases the slot of a running request that has become an event stream; the stream keeps the
     * connection.
     */
    void convertToStream() {
        mRunningCount--;
        mStreamCount++;
    }

    void endStream() {
        mStreamCount--;
    }

    /** Returns true if no request is running or queued and no stream is open. */
    boolean isIdle() {
        return mRunningCount == 0 && mStreamCount == 0 && mQueue.isEmpty();
    }

    int streamCount() {
        return mStreamCount;
    }

    LoadReport load() {
        return new LoadReport(
                mRunningCount,
                mQueue.size(),
                mSlots,
                (long) (mAverageServiceNanos / 1000),
                mLeaving);
    }

    long refusalCount(Admission reason) {
        return mRefusalCounts.getOrDefault(reason, 0L);
    }

    /** Decides about a request from the state of the upstream, the queue and the deadline. */
    private Admission decideAdmission(long deadlineNanos, boolean stream) {
        long remaining = deadlineNanos - mClock.monotonicNanos();
        if (mLeaving) {
            return Admission.LEAVING;
        }
        if (remaining <= 0) {
            return Admission.LATE;
        }
        if (stream && mStreamCount >= Math.max(1, mConnections - mSlots)) {
            return Admission.FULL;
        }
        if (mQueue.isEmpty() && hasFreeSlot()) {
            return Admission.START;
        }
        if (mQueue.size() >= MAX_QUEUED_PER_SLOT * mSlots) {
            return Admission.FULL;
        }
        double expectedWait = (mQueue.size() + 1) * mAverageServiceNanos / mSlots;
        return expectedWait > remaining ? Admission.LATE : Admission.QUEUED;
    }

    private boolean hasFreeSlot() {
        return mRunningCount < mSlots && mRunningCount + mStreamCount < mConnections;
    }
}
