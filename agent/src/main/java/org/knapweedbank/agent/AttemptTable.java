package org.knapweedbank.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.TaskDigest;
import org.knapweedbank.wire.TaskHeld;
import org.knapweedbank.wire.TaskReportState;

/**
 * Table of the attempts that a VM holds, the resources that they reserve, and the highest accepted
 * epoch of the partition's owner. An attempt is held until its end is acknowledged. After that, its
 * identifier is remembered for one minute, which is longer than the three seconds for which a late
 * duplicate of its start could carry a valid permit. Not thread-safe.
 */
final class AttemptTable {
    /** Time that the identifier of an acknowledged attempt is remembered. */
    static final Duration ENDED_RETENTION = Duration.ofMinutes(1);

    /** Maximum number of attempts held or remembered; a VM runs a few dozen at a time. */
    static final int MAX_ATTEMPTS = 4096;

    private final Resources mCapacity;
    private final Clock mClock;
    private final Map<AttemptId, HeldAttempt> mHeld = new LinkedHashMap<>();

    /**
     * Attempts whose end was acknowledged, with the monotonic time until which they are remembered.
     */
    private final Map<AttemptId, Long> mEndExpiryNanos = new LinkedHashMap<>();

    private Resources mUsed = Resources.NONE;
    private long mDigest = TaskDigest.EMPTY;
    private long mEpoch;

    AttemptTable(Resources capacity, Clock clock) {
        mCapacity = capacity;
        mClock = clock;
    }

    /** Returns the highest epoch accepted so far. */
    long epoch() {
        return mEpoch;
    }

    /** Accepts an epoch; returns false if a higher one has been accepted before. */
    boolean acceptEpoch(long epoch) {
        if (epoch < mEpoch) {
            return false;
        }
        mEpoch = epoch;
        return true;
    }

    /**
     * Decides about a start command.
     *
     * @param refusal reason to refuse the start that the caller has found, for example an expired
     *     permit
     */
    StartDecision decideStart(StartTask start, Optional<String> refusal) {
        AttemptId id = new AttemptId(start.task(), start.attempt());
        HeldAttempt held = mHeld.get(id);
        if (held != null) {
            held.setService(start.service());
            return new StartDecision.Repeat(held);
        }
        if (isEndRemembered(id)) {
            return new StartDecision.Ignore("attempt has ended");
        }
        if (isNewerAttemptKnown(id)) {
            return new StartDecision.Ignore("a newer attempt is known");
        }
        if (isFull()) {
            return new StartDecision.Ignore("too many attempts are held");
        }
        Optional<String> reason = refusal.or(() -> localRefusal(start));
        if (reason.isPresent()) {
            return new StartDecision.Refuse(holdAsNotStarted(id, reason.get()));
        }
        HeldAttempt started =
                new HeldAttempt(id, start.resources(), start.service(), TaskReportState.RUNNING);
        started.setPendingStart(start);
        hold(started);
        return new StartDecision.Start(started);
    }

    /** Holds an attempt as not started, so that a late duplicate of its start has no effect. */
    HeldAttempt holdAsNotStarted(AttemptId id, String reason) {
        HeldAttempt held = new HeldAttempt(id, Resources.NONE, false, TaskReportState.NOT_STARTED);
        held.setState(TaskReportState.NOT_STARTED, reason);
        mHeld.put(id, held);
        return held;
    }

    /** Holds an attempt that the worker lists and that this agent has not started. */
    HeldAttempt adopt(AttemptId id, Resources resources, TaskReportState state, String detail) {
        HeldAttempt held = new HeldAttempt(id, resources, false, state);
        held.setState(state, detail);
        hold(held);
        return held;
    }

    /**
     * Changes the state of a held attempt and releases its resources if it has ended. Returns false
     * if nothing changes; the state of an attempt that has ended is final.
     */
    boolean changeState(HeldAttempt held, TaskReportState state, String detail) {
        if (held.hasEnded() || (held.state() == state && held.detail().equals(detail))) {
            return false;
        }
        held.setState(state, detail);
        if (state.hasEnded()) {
            mUsed = mUsed.minus(held.resources());
            mDigest -= TaskDigest.of(held.id().task(), held.id().attempt());
        }
        return true;
    }

    /** Stops holding an attempt whose end was acknowledged, and remembers its identifier. */
    void release(HeldAttempt held) {
        mHeld.remove(held.id());
        mEndExpiryNanos.put(held.id(), mClock.monotonicNanos() + ENDED_RETENTION.toNanos());
    }

    Optional<HeldAttempt> find(TaskId task, int attempt) {
        return Optional.ofNullable(mHeld.get(new AttemptId(task, attempt)));
    }

    /** Returns true if the end of the attempt was acknowledged within the retention time. */
    boolean isEndRemembered(AttemptId id) {
        forgetExpiredEnds();
        return mEndExpiryNanos.containsKey(id);
    }

    boolean isFull() {
        return mHeld.size() + mEndExpiryNanos.size() >= MAX_ATTEMPTS;
    }

    Collection<HeldAttempt> attempts() {
        return new ArrayList<>(mHeld.values());
    }

    List<TaskHeld> toMessages() {
        return mHeld.values().stream().map(HeldAttempt::toMessage).toList();
    }

    /** Returns the digest of the attempts that have not ended, as sent with heartbeats. */
    long digest() {
        return mDigest;
    }

    /** Returns the resources reserved by the attempts that have not ended. */
    Resources used() {
        return mUsed;
    }

    private void hold(HeldAttempt held) {
        mHeld.put(held.id(), held);
        if (!held.hasEnded()) {
            mUsed = mUsed.plus(held.resources());
            mDigest += TaskDigest.of(held.id().task(), held.id().attempt());
        }
    }

    /** Returns a reason to refuse a start that follows from the held attempts or the capacity. */
    private Optional<String> localRefusal(StartTask start) {
        if (!start.resources().isNonNegative()) {
            return Optional.of("resources are negative");
        }
        boolean earlierAttemptRuns =
                mHeld.values().stream()
                        .anyMatch(h -> h.id().task().equals(start.task()) && !h.hasEnded());
        if (earlierAttemptRuns) {
            return Optional.of("an earlier attempt has not ended");
        }
        return start.resources().fitsIn(mCapacity.minus(mUsed))
                ? Optional.empty()
                : Optional.of("capacity of the VM is exceeded");
    }

    private boolean isNewerAttemptKnown(AttemptId id) {
        return mHeld.keySet().stream().anyMatch(known -> isNewer(known, id))
                || mEndExpiryNanos.keySet().stream().anyMatch(known -> isNewer(known, id));
    }

    private static boolean isNewer(AttemptId known, AttemptId id) {
        return known.attempt() > id.attempt() && known.task().equals(id.task());
    }

    private void forgetExpiredEnds() {
        long now = mClock.monotonicNanos();
        Iterator<Long> expiries = mEndExpiryNanos.values().iterator();
        while (expiries.hasNext() && expiries.next() - now <= 0) {
            expiries.remove();
        }
    }
}
