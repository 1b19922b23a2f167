package org.knapweedbank.routing.duplicate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.knapweedbank.time.Clock;

/**
 * Remembers attempts so that a duplicate of a request does not run again and an attempt that was
 * reported as not run does not run later. The memory is limited: attempts are dropped when their
 * retention time after their end has passed, and new attempts are refused while the table is full.
 * A running attempt or one within its retention time is never dropped. Not thread-safe.
 *
 * @param <A> type of the recorded answers
 */
public final class DuplicateTable<A> {
    private enum State {
        RUNNING,
        ANSWERED,
        UNKNOWN,
        NOT_RUN
    }

    /** State of an attempt, with its recorded answer or the reason why there is none. */
    private static final class Entry<A> {
        private final AttemptKey mKey;
        private State mState = State.RUNNING;
        private A mAnswer;
        private int mAnswerBytes;
        private String mReason = "";
        private long mExpiresNanos;

        private Entry(AttemptKey key) {
            mKey = key;
        }
    }

    private final DuplicateLimits mLimits;
    private final Clock mClock;
    private final Map<String, Entry<A>> mEntriesByAttempt = new HashMap<>();
    private final Map<String, Entry<A>> mEntriesByKey = new HashMap<>();

    /** Ended attempts in the order in which their retention time passes. */
    private final Deque<Entry<A>> mEndedByExpiry = new ArrayDeque<>();

    private int mNotRunMarks;
    private long mAnswerBytes;
    private long mRefusedCount;
    private long mUnrecordedCount;

    /**
     * Creates an empty table.
     *
     * @param limits limits of the table
     * @param clock source of time
     */
    public DuplicateTable(DuplicateLimits limits, Clock clock) {
        mLimits = limits;
        mClock = clock;
    }

    /**
     * Decides about an attempt that has arrived. After {@code Run} the attempt is recorded as
     * running until {@link #answered}, {@link #unknown} or {@link #notRun} is called.
     *
     * @param key identity of the attempt
     * @return the decision
     */
    public DuplicateDecision<A> admit(AttemptKey key) {
        expire();
        Optional<DuplicateDecision<A>> known = find(key);
        if (known.isPresent()) {
            return known.get();
        }
        if (mEntriesByAttempt.size() - mNotRunMarks >= mLimits.maxAttempts()) {
            mRefusedCount++;
            return new DuplicateDecision.Refuse<>("duplicate table is full");
        }
        Entry<A> entry = new Entry<>(key);
        mEntriesByAttempt.put(key.attemptId(), entry);
        if (key.hasKey()) {
            mEntriesByKey.put(key.scopedKey(), entry);
        }
        return new DuplicateDecision.Run<>();
    }

    /**
     * Returns what is known about an attempt, without recording it.
     *
     * @param key identity of the attempt
     * @return the decision; {@code Unknown} if the attempt is not in the table
     */
    public DuplicateDecision<A> query(AttemptKey key) {
        expire();
        return find(key)
                .orElseGet(() -> new DuplicateDecision.Unknown<>("attempt is not remembered"));
    }

    /**
     * Records the answer to a running attempt.
     *
     * @param attemptId identifier of the attempt
     * @param answer the answer, or null if it must not be recorded
     * @param bytes size of the answer in bytes; an answer that exceeds the limits is not recorded
     */
    public void answered(String attemptId, A answer, int bytes) {
        Entry<A> entry = findRunning(attemptId);
        if (entry == null) {
            return;
        }
        if (isSafeToRepeat(entry)) {
            remove(entry);
            return;
        }
        entry.mReason = "answer is no longer available";
        boolean fits =
                bytes <= mLimits.answerBytes()
                        && mAnswerBytes + bytes <= mLimits.totalAnswerBytes();
        if (answer != null && fits) {
            entry.mAnswer = answer;
            entry.mAnswerBytes = bytes;
            mAnswerBytes += bytes;
        } else if (entry.mKey.hasKey()) {
            mUnrecordedCount++;
        }
        end(entry, State.ANSWERED);
    }

    /**
     * Records that a running attempt has ended without an answer and may have run.
     *
     * @param attemptId identifier of the attempt
     * @param reason short explanation
     */
    public void unknown(String attemptId, String reason) {
        Entry<A> entry = findRunning(attemptId);
        if (entry == null) {
            return;
        }
        if (isSafeToRepeat(entry)) {
            remove(entry);
            return;
        }
        entry.mReason = reason;
        end(entry, State.UNKNOWN);
    }

    /**
     * Marks an attempt as not run, so that it does not run while the mark is kept. The attempt must
     * not have been forwarded to the upstream.
     *
     * @param key identity of an attempt that is running or unknown
     * @param reason why the attempt does not run
     * @return true if the attempt is marked and may be reported as not run; false if the maximum
     *     number of marks is reached or the attempt may have been forwarded
     */
    public boolean notRun(AttemptKey key, String reason) {
        // An expired mark no longer prevents the attempt from running, so it is removed before the
        // lookup.
        expire();
        Entry<A> entry = mEntriesByAttempt.get(key.attemptId());
        if (entry != null && entry.mState != State.RUNNING) {
            return entry.mState == State.NOT_RUN;
        }
        if (mNotRunMarks >= mLimits.maxNotRunMarks()) {
            if (entry != null) {
                unknown(key.attemptId(), "no room to mark the attempt as not run");
            }
            return false;
        }
        if (entry == null) {
            entry = new Entry<>(key);
            mEntriesByAttempt.put(key.attemptId(), entry);
        } else if (key.hasKey()) {
            mEntriesByKey.remove(key.scopedKey(), entry);
        }
        mNotRunMarks++;
        entry.mReason = reason;
        end(entry, State.NOT_RUN);
        return true;
    }

    /** Removes attempts whose retention time has passed. */
    public void expire() {
        long now = mClock.monotonicNanos();
        Entry<A> oldest = mEndedByExpiry.peek();
        while (oldest != null && oldest.mExpiresNanos - now <= 0) {
            mEndedByExpiry.poll();
            remove(oldest);
            oldest = mEndedByExpiry.peek();
        }
    }

    /**
     * Returns the number of attempts in the table, including those marked as not run.
     *
     * @return the number
     */
    public int size() {
        return mEntriesByAttempt.size();
    }

    /**
     * Returns the total size of the recorded answers.
     *
     * @return size in bytes
     */
    public long answerBytes() {
        return mAnswerBytes;
    }

    /**
     * Returns the number of attempts that were refused because the table was full.
     *
     * @return the number
     */
    public long refused() {
        return mRefusedCount;
    }

    /**
     * Returns the number of answers to keyed requests that were not recorded, for example because
     * they exceeded the limits.
     *
     * @return the number
     */
    public long unrecordedAnswers() {
        return mUnrecordedCount;
    }

    private Optional<DuplicateDecision<A>> find(AttemptKey key) {
        Entry<A> entry = mEntriesByAttempt.get(key.attemptId());
        if (entry == null && key.hasKey()) {
            entry = mEntriesByKey.get(key.scopedKey());
        }
        return Optional.ofNullable(entry).map(DuplicateTable::toDecision);
    }

    private static <A> DuplicateDecision<A> toDecision(Entry<A> entry) {
        return switch (entry.mState) {
            case RUNNING -> new DuplicateDecision.Join<>(entry.mKey.attemptId());
            case NOT_RUN -> new DuplicateDecision.NotRun<>(entry.mReason);
            case UNKNOWN -> new DuplicateDecision.Unknown<>(entry.mReason);
            case ANSWERED ->
                    entry.mAnswer == null
                            ? new DuplicateDecision.Unknown<>(entry.mReason)
                            : new DuplicateDecision.Replay<>(entry.mAnswer);
        };
    }

    private Entry<A> findRunning(String attemptId) {
        Entry<A> entry = mEntriesByAttempt.get(attemptId);
        return entry != null && entry.mState == State.RUNNING ? entry : null;
    }

    /**
     * Returns whether a request is idempotent and has no key. A duplicate of it may run again, so
     * its attempts are not remembered after their end.
     */
    private static boolean isSafeToRepeat(Entry<?> entry) {
        return entry.mKey.idempotent() && !entry.mKey.hasKey();
    }

    private void end(Entry<A> entry, State state) {
        entry.mState = state;
        entry.mExpiresNanos = mClock.monotonicNanos() + mLimits.retention().toNanos();
        mEndedByExpiry.add(entry);
    }

    private void remove(Entry<A> entry) {
        mEntriesByAttempt.remove(entry.mKey.attemptId(), entry);
        if (entry.mKey.hasKey()) {
            mEntriesByKey.remove(entry.mKey.scopedKey(), entry);
        }
        if (entry.mState == State.NOT_RUN) {
            mNotRunMarks--;
        }
        mAnswerBytes -= entry.mAnswerBytes;
    }
}
