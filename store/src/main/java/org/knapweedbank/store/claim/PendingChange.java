package org.knapweedbank.store.claim;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;

/**
 * Claim or release that is queued or being written by {@link ClaimStore}. It is in either the queue
 * or one write at a time, and is not synchronized itself.
 */
abstract sealed class PendingChange {
    private static final int MAX_ATTEMPTS = 3;

    private final Claim mClaim;
    private final long mCreatedNanos;
    private long mNotBeforeNanos;
    private int mAttempts;

    /** True if a write had an unknown outcome and may still take effect. */
    private boolean mMayTakeEffectLate;

    private PendingChange(Claim claim, long nowNanos) {
        mClaim = claim;
        mCreatedNanos = nowNanos;
        mNotBeforeNanos = nowNanos;
    }

    /** What to do with a change after the response to a write or a read. */
    enum NextStep {
        /** The result is known and can be reported. */
        DONE,
        /** The change has not taken effect and is written again. */
        RETRY
    }

    Claim claim() {
        return mClaim;
    }

    String key() {
        return mClaim.storeKey();
    }

    long createdNanos() {
        return mCreatedNanos;
    }

    long notBeforeNanos() {
        return mNotBeforeNanos;
    }

    void setNotBeforeNanos(long nanos) {
        mNotBeforeNanos = nanos;
    }

    /** Counts a failed attempt. Returns false if the maximum number of attempts is reached. */
    boolean allowRetry() {
        mAttempts++;
        return mAttempts < MAX_ATTEMPTS;
    }

    boolean isRetry() {
        return mAttempts > 0;
    }

    boolean mayTakeEffectLate() {
        return mMayTakeEffectLate;
    }

    /** Records that a write of this change had an unknown outcome and may still take effect. */
    void markMayTakeEffectLate() {
        mMayTakeEffectLate = true;
    }

    /** Returns the nested transaction that makes this change. */
    abstract Transaction transaction(long leaseId);

    /** Evaluates the result of the nested transaction. */
    abstract NextStep handleResponse(TransactionResult result);

    /** Evaluates the entry that was read after a condition failed or an outcome was unknown. */
    abstract NextStep handleReadBack(Optional<KeyEntry> entry);

    /** Returns an action that reports that the change failed or that its outcome is unknown. */
    abstract Runnable failureReport(String reason);

    /** Returns an action that reports the result after {@link NextStep#DONE}. */
    abstract Runnable resultReport();

    private static boolean isOfSameAttempt(Claim claim, ClaimRecord found) {
        return found.attemptId().equals(claim.attemptId());
    }

    /** Queued claim of a key that is absent or released. */
    static final class PendingClaim extends PendingChange {
        private final Consumer<ClaimResult> mListener;

        /** Revision of the released claim that this one replaces, or 0 if the key is absent. */
        private long mReleasedRevision;

        private ClaimResult mResult;

        PendingClaim(Claim claim, long nowNanos, Consumer<ClaimResult> listener) {
            super(claim, nowNanos);
            mListener = listener;
        }

        @Override
        Transaction transaction(long leaseId) {
            Compare claimable =
                    mReleasedRevision == 0
                            ? new Compare.Absent(key())
                            : new Compare.ModifiedAt(key(), mReleasedRevision);
            byte[] value = ClaimRecord.of(claim(), ClaimState.CLAIMED).encode();
            return new Transaction(
                    List.of(claimable),
                    List.of(new Operation.Put(key(), value, leaseId)),
                    List.of(new Operation.Get(key())));
        }

        @Override
        NextStep handleResponse(TransactionResult result) {
            return result.conditionsHeld() ? completeGranted() : handleReadBack(result.read(0));
        }

        @Override
        NextStep handleReadBack(Optional<KeyEntry> entry) {
            if (entry.isEmpty()) {
                mReleasedRevision = 0;
                return NextStep.RETRY;
            }
            Optional<ClaimRecord> found = ClaimRecord.decode(entry.get());
            if (found.isEmpty()) {
                mResult = new ClaimResult.Unavailable("malformed value of " + key());
                return NextStep.DONE;
            }
            if (found.get().state() == ClaimState.RELEASED) {
                mReleasedRevision = entry.get().modRevision();
                return NextStep.RETRY;
            }
            return isOfSameAttempt(claim(), found.get())
                    ? completeGranted()
                    : completeAlreadyClaimed(found.get());
        }

        @Override
        Runnable failureReport(String reason) {
            ClaimResult result =
                    mayTakeEffectLate()
                            ? new ClaimResult.Unknown(claim(), reason)
                            : new ClaimResult.Unavailable(reason);
            return () -> mListener.accept(result);
        }

        @Override
        Runnable resultReport() {
            ClaimResult result = mResult;
            return () -> mListener.accept(result);
        }

        private NextStep completeGranted() {
            mResult = new ClaimResult.Granted(claim());
            return NextStep.DONE;
        }

        private NextStep completeAlreadyClaimed(ClaimRecord found) {
            mResult =
                    new ClaimResult.AlreadyClaimed(found.attemptId(), found.agent(), found.state());
            return NextStep.DONE;
        }
    }

    /**
     * Queued release of a claim. It writes a value in state {@link ClaimState#RELEASED} instead of
     * deleting the key, so that a delayed write of the same claim does not take effect.
     */
    static final class PendingRelease extends PendingChange {
        private final Consumer<ReleaseResult> mListener;
        private ReleaseResult mResult;

        PendingRelease(Claim claim, long nowNanos, Consumer<ReleaseResult> listener) {
            super(claim, nowNanos);
            mListener = listener;
        }

        @Override
        Transaction transaction(long leaseId) {
            byte[] claimedValue = ClaimRecord.of(claim(), ClaimState.CLAIMED).encode();
            byte[] releasedValue = ClaimRecord.of(claim(), ClaimState.RELEASED).encode();
            Operation put = new Operation.Put(key(), releasedValue, leaseId);
            Transaction ifAbsent =
                    new Transaction(
                            List.of(new Compare.Absent(key())),
                            List.of(put),
                            List.of(new Operation.Get(key())));
            return new Transaction(
                    List.of(new Compare.ValueEquals(key(), claimedValue)),
                    List.of(put),
                    List.of(new Operation.Nested(ifAbsent)));
        }

        @Override
        NextStep handleResponse(TransactionResult result) {
            if (result.conditionsHeld() || result.nested(0).conditionsHeld()) {
                mResult = new ReleaseResult.Released();
                return NextStep.DONE;
            }
            return handleReadBack(result.nested(0).read(0));
        }

        @Override
        NextStep handleReadBack(Optional<KeyEntry> entry) {
            if (entry.isEmpty()) {
                return NextStep.RETRY;
            }
            Optional<ClaimRecord> found = ClaimRecord.decode(entry.get());
            boolean ofSameAttempt =
                    found.filter(claimRecord -> isOfSameAttempt(claim(), claimRecord)).isPresent();
            if (ofSameAttempt && found.get().state() == ClaimState.CLAIMED) {
                return NextStep.RETRY;
            }
            mResult = ofSameAttempt ? new ReleaseResult.Released() : new ReleaseResult.NotHeld();
            return NextStep.DONE;
        }

        @Override
        Runnable failureReport(String reason) {
            return () -> mListener.accept(new ReleaseResult.Failed(reason));
        }

        @Override
        Runnable resultReport() {
            ReleaseResult result = mResult;
            return () -> mListener.accept(result);
        }
    }
}
