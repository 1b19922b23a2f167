package org.knapweedbank.routing.duplicate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.knapweedbank.time.Clock;

/**
 * Remembers attempts of requests, so that a copy of a request does not run a second time and an
 * attempt that was refused as not run does not run later. Memory is bounded: attempts are forgotten
 * some time after their end, and when the table is full new attempts are refused; an attempt that
 * runs or whose retention has not passed is never dropped. Not thread-safe.
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
    private final Map<String, Entry<A>> mByAttempt = new HashMap<>();
    private final Map<String, Entry<A>> mByKey = new HashMap<>();
    private final Deque<Entry<A>> mEnded = new ArrayDeque<>();
    private int mMarks;
    private long mAnswerBytes;
    private long mRefused;
    private long mUnrecorded;

    /**
     * Creates a table.
     *
     * @param limits bounds
     * @param clock time source
     */
    public DuplicateTable(DuplicateLimits limits, Clock clock) {
        mLimits = limits;
        mClock = clock;
    }

    /**
     * Decides about an attempt that has arrived. After {@code Run} the attempt is held until one of
     * {@link #answered}, {@link #unknown} or {@link #notRun}.
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
        if (mByAttempt.size() - mMarks >= mLimits.entries()) {
            mRefused++;
            return new DuplicateDecision.Refuse<>("duplicate table is full");
        }
        Entry<A> entry = new Entry<>(key);
        mByAttempt.put(key.attemptId(), entry);
        if (key.hasKey()) {
            mByKey.put(key.scopedKey(), entry);
        }
        return new DuplicateDecision.Run<>();
    }

    /**
     * Looks up an attempt without holding it.
     *
     * @param key identity of the attempt
     * @return what is known; {@code Unknown} if the attempt is not in the table
     */
    public DuplicateDecision<A> query(AttemptKey key) {
        expire();
        return find(key)
                .orElseGet(() -> new DuplicateDecision.Unknown<>("attempt is not remembered"));
    }

    /**
     * Records that a running attempt was answered.
     *
     * @param attemptId the attempt
     * @param answer the answer, or null if it is not to be recorded
     * @param bytes size of the answer in bytes; a larger one than the limits allow is not recorded
     */
    public void answered(String attemptId, A answer, int bytes) {
        Entry<A> entry = running(attemptId);
        if (entry == null) {
            return;
        }
        if (repeatable(entry)) {
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
            mUnrecorded++;
        }
        end(entry, State.ANSWERED);
    }

    /**
     * Records that a running attempt may have run without an answer.
     *
     * @param attemptId the attempt
     * @param reason short reason
     */
    public void unknown(String attemptId, String reason) {
        Entry<A> entry = running(attemptId);
        if (entry == null) {
            return;
        }
        if (repeatable(entry)) {
            remove(entry);
            return;
        }
        entry.mReason = reason;
        end(entry, State.UNKNOWN);
    }

    /**
     * Marks an attempt, so that it does not run while the mark is kept. The attempt must not have
     * been passed on.
     *
     * @param key identity of the attempt, running or not held
     * @param reason why it does not run
     * @return true if the attempt is marked and may be reported as not run; false if there is no
     *     room for a mark or the attempt has been passed on, so that nothing is proven
     */
    public boolean notRun(AttemptKey key, String reason) {
        // A mark that has expired is forgotten by the next call, so it proves nothing any more.
        expire();
        Entry<A> entry = mByAttempt.get(key.attemptId());
        if (entry != null && entry.mState != State.RUNNING) {
            return entry.mState == State.NOT_RUN;
        }
        if (mMarks >= mLimits.marks()) {
            if (entry != null) {
                unknown(key.attemptId(), "no room to mark the attempt as not run");
            }
            return false;
        }
        if (entry == null) {
            entry = new Entry<>(key);
            mByAttempt.put(key.attemptId(), entry);
        } else if (key.hasKey()) {
            mByKey.remove(key.scopedKey(), entry);
        }
        mMarks++;
        entry.mReason = reason;
        end(entry, State.NOT_RUN);
        return true;
    }

    /** Forgets attempts whose retention has passed. */
    public void expire() {
        long now = mClock.monotonicNanos();
        Entry<A> oldest = mEnded.peek();
        while (oldest != null && oldest.mExpiresNanos - now <= 0) {
            mEnded.poll();
            remove(oldest);
            oldest = mEnded.peek();
        }
    }

    /**
     * Number of attempts held, with marks.
     *
     * @return the count
     */
    public int size() {
        return mByAttempt.size();
    }

    /**
     * Bytes of recorded answers.
     *
     * @return the sum
     */
    public long answerBytes() {
        return mAnswerBytes;
    }

    /**
     * Number of attempts refused because the table was full.
     *
     * @return the count
     */
    public long refused() {
        return mRefused;
    }

    /**
     * Number of answers to keyed requests that exceeded the bounds and were not recorded.
     *
     * @return the count
     */
    public long unrecorded() {
        return mUnrecorded;
    }

    private Optional<DuplicateDecision<A>> find(AttemptKey key) {
        Entry<A> entry = mByAttempt.get(key.attemptId());
        if (entry == null && key.hasKey()) {
            entry = mByKey.get(key.scopedKey());
        }
        return Optional.ofNullable(entry).map(DuplicateTable::decide);
    }

    private static <A> DuplicateDecision<A> decide(Entry<A> entry) {
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

    private Entry<A> running(String attemptId) {
        Entry<A> entry = mByAttempt.get(attemptId);
        return entry != null && entry.mState == State.RUNNING ? entry : null;
    }

    /** A late copy of an idempotent request without a key does no harm, so it takes no memory. */
    private static boolean repeatable(Entry<?> entry) {
        return entry.mKey.idempotent() && !entry.mKey.hasKey();
    }

    private void end(Entry<A> entry, State state) {
        entry.mState = state;
        entry.mExpiresNanos = mClock.monotonicNanos() + mLimits.retention().toNanos();
        mEnded.add(entry);
    }

    private void remove(Entry<A> entry) {
        mByAttempt.remove(entry.mKey.attemptId(), entry);
        if (entry.mKey.hasKey()) {
            mByKey.remove(entry.mKey.scopedKey(), entry);
        }
        if (entry.mState == State.NOT_RUN) {
            mMarks--;
        }
        mAnswerBytes -= entry.mAnswerBytes;
    }
}
