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
 * Attempts of a VM, the resources that they reserve, and the epoch of the partition's owner. An
 * attempt stays until its end is acknowledged; after that its identifier is remembered for a
 * minute, longer than the three seconds for which a late copy of its start could have a valid
 * permit. Not thread-safe.
 */
final class TaskLedger {
    static final Duration ENDED_RETENTION = Duration.ofMinutes(1);

    /** Attempts held or remembered; a VM runs a few dozen at a time. */
    static final int MAX_ATTEMPTS = 4096;

    private final Resources mCapacity;
    private final Clock mClock;
    private final Map<AttemptId, HeldAttempt> mHeld = new LinkedHashMap<>();
    private final Map<AttemptId, Long> mEnded = new LinkedHashMap<>();
    private Resources mUsed = Resources.NONE;
    private long mDigest = TaskDigest.EMPTY;
    private long mEpoch;

    TaskLedger(Resources capacity, Clock clock) {
        mCapacity = capacity;
        mClock = clock;
    }

    /** Highest epoch accepted so far. */
    long epoch() {
        return mEpoch;
    }

    /** Accepts an epoch unless a higher one is known. */
    boolean acceptEpoch(long epoch) {
        if (epoch < mEpoch) {
            return false;
        }
        mEpoch = epoch;
        return true;
    }

    /** Decides about a start; {@code refusal} is a reason found elsewhere, such as the permit. */
    StartDecision decide(StartTask start, Optional<String> refusal) {
        AttemptId id = new AttemptId(start.task(), start.attempt());
        HeldAttempt held = mHeld.get(id);
        if (held != null) {
            held.service(start.service());
            return new StartDecision.Repeat(held);
        }
        if (remembered(id)) {
            return new StartDecision.Ignore("attempt has ended");
        }
        if (newerKnown(id)) {
            return new StartDecision.Ignore("a newer attempt is known");
        }
        if (isFull()) {
            return new StartDecision.Ignore("too many attempts are held");
        }
        Optional<String> reason = refusal.or(() -> ownRefusal(start));
        if (reason.isPresent()) {
            return new StartDecision.Refuse(refuse(id, reason.get()));
        }
        HeldAttempt started =
                new HeldAttempt(id, start.resources(), start.service(), TaskReportState.RUNNING);
        started.pendingStart(start);
        hold(started);
        return new StartDecision.Start(started);
    }

    /** Holds an attempt as not started, so that a late copy of its start has no effect. */
    HeldAttempt refuse(AttemptId id, String reason) {
        HeldAttempt held = new HeldAttempt(id, Resources.NONE, false, TaskReportState.NOT_STARTED);
        held.state(TaskReportState.NOT_STARTED, reason);
        mHeld.put(id, held);
        return held;
    }

    /** Holds an attempt that the worker lists and this agent did not start. */
    HeldAttempt adopt(AttemptId id, Resources resources, TaskReportState state, String detail) {
        HeldAttempt held = new HeldAttempt(id, resources, false, state);
        held.state(state, detail);
        hold(held);
        return held;
    }

    /** Changes the state of a held attempt; an attempt that has ended does not change. */
    boolean change(HeldAttempt held, TaskReportState state, String detail) {
        if (held.ended() || (held.state() == state && held.detail().equals(detail))) {
            return false;
        }
        held.state(state, detail);
        if (state.ended()) {
            mUsed = mUsed.minus(held.resources());
            mDigest -= TaskDigest.of(held.id().task(), held.id().attempt());
        }
        return true;
    }

    /** Stops holding an attempt whose end was acknowledged; its identifier is remembered. */
    void release(HeldAttempt held) {
        mHeld.remove(held.id());
        mEnded.put(held.id(), mClock.monotonicNanos() + ENDED_RETENTION.toNanos());
    }

    Optional<HeldAttempt> find(TaskId task, int attempt) {
        return Optional.ofNullable(mHeld.get(new AttemptId(task, attempt)));
    }

    /** True if the attempt has ended and its end was acknowledged a short time ago. */
    boolean remembered(AttemptId id) {
        expire();
        return mEnded.containsKey(id);
    }

    boolean isFull() {
        return mHeld.size() + mEnded.size() >= MAX_ATTEMPTS;
    }

    Collection<HeldAttempt> attempts() {
        return new ArrayList<>(mHeld.values());
    }

    List<TaskHeld> toMessages() {
        return mHeld.values().stream().map(HeldAttempt::toMessage).toList();
    }

    long digest() {
        return mDigest;
    }

    Resources used() {
        return mUsed;
    }

    private void hold(HeldAttempt held) {
        mHeld.put(held.id(), held);
        if (!held.ended()) {
            mUsed = mUsed.plus(held.resources());
            mDigest += TaskDigest.of(held.id().task(), held.id().attempt());
        }
    }

    private Optional<String> ownRefusal(StartTask start) {
        if (!start.resources().isNonNegative()) {
            return Optional.of("resources are negative");
        }
        boolean taskRuns =
                mHeld.values().stream()
                        .anyMatch(h -> h.id().task().equals(start.task()) && !h.ended());
        if (taskRuns) {
            return Optional.of("an earlier attempt has not ended");
        }
        return start.resources().fitsIn(mCapacity.minus(mUsed))
                ? Optional.empty()
                : Optional.of("capacity of the VM is exceeded");
    }

    private boolean newerKnown(AttemptId id) {
        return mHeld.keySet().stream().anyMatch(known -> isNewer(known, id))
                || mEnded.keySet().stream().anyMatch(known -> isNewer(known, id));
    }

    private static boolean isNewer(AttemptId known, AttemptId id) {
        return known.attempt() > id.attempt() && known.task().equals(id.task());
    }

    private void expire() {
        long now = mClock.monotonicNanos();
        Iterator<Long> expiries = mEnded.values().iterator();
        while (expiries.hasNext() && expiries.next() - now <= 0) {
            expiries.remove();
        }
    }
}
