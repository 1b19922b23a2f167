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
 * A claim or a release that waits for its write or its outcome. Used under the lock of {@link
 * ClaimStore}.
 */
abstract sealed class PendingChange {
    private static final int MAX_ROUNDS = 3;

    private final Claim mClaim;
    private final long mSinceNanos;
    private long mNotBefore;
    private int mRounds;
    private boolean mMayArriveLate;

    private PendingChange(Claim claim, long nowNanos) {
        mClaim = claim;
        mSinceNanos = nowNanos;
        mNotBefore = nowNanos;
    }

    /** What follows from an answer. */
    enum Next {
        DONE,
        REPEAT
    }

    Claim claim() {
        return mClaim;
    }

    String key() {
        return mClaim.storeKey();
    }

    long sinceNanos() {
        return mSinceNanos;
    }

    long notBefore() {
        return mNotBefore;
    }

    void notBefore(long nanos) {
        mNotBefore = nanos;
    }

    /** Counts a repetition; false when there were too many. */
    boolean mayRepeat() {
        mRounds++;
        return mRounds < MAX_ROUNDS;
    }

    boolean repeated() {
        return mRounds > 0;
    }

    boolean mayArriveLate() {
        return mMayArriveLate;
    }

    /** A write of this change had an unknown outcome and might still arrive at the store. */
    void setMayArriveLate() {
        mMayArriveLate = true;
    }

    /** The nested transaction of this change. */
    abstract Transaction transaction(long leaseId);

    /** Takes the answer of the nested transaction. */
    abstract Next answered(TransactionResult result);

    /** Takes the entry read back after an unknown outcome. */
    abstract Next readBack(Optional<KeyEntry> entry);

    /** Prepares the report of the outcome if the change did not happen or is unknown. */
    abstract Runnable failure(String reason);

    /** Prepares the report of the outcome after {@link Next#DONE}. */
    abstract Runnable report();

    private static boolean isBy(Claim claim, ClaimRecord found) {
        return found.attemptId().equals(claim.attemptId());
    }

    /** A claim. */
    static final class Claiming extends PendingChange {
        private final Consumer<ClaimResult> mListener;
        private long mReleasedAt;
        private ClaimResult mResult;

        Claiming(Claim claim, long nowNanos, Consumer<ClaimResult> listener) {
            super(claim, nowNanos);
            mListener = listener;
        }

        @Override
        Transaction transaction(long leaseId) {
            Compare free =
                    mReleasedAt == 0
                            ? new Compare.Absent(key())
                            : new Compare.ModifiedAt(key(), mReleasedAt);
            byte[] value = ClaimRecord.of(claim(), ClaimState.CLAIMED).encode();
            return new Transaction(
                    List.of(free),
                    List.of(new Operation.Put(key(), value, leaseId)),
                    List.of(new Operation.Get(key())));
        }

        @Override
        Next answered(TransactionResult result) {
            return result.compared() ? granted() : readBack(result.read(0));
        }

        @Override
        Next readBack(Optional<KeyEntry> entry) {
            if (entry.isEmpty()) {
                mReleasedAt = 0;
                return Next.REPEAT;
            }
            Optional<ClaimRecord> found = ClaimRecord.decode(entry.get());
            if (found.isEmpty()) {
                mResult = new ClaimResult.Unavailable("malformed value of " + key());
                return Next.DONE;
            }
            if (found.get().state() == ClaimState.RELEASED) {
                mReleasedAt = entry.get().modRevision();
                return Next.REPEAT;
            }
            return isBy(claim(), found.get()) ? granted() : taken(found.get());
        }

        @Override
        Runnable failure(String reason) {
            ClaimResult result =
                    mayArriveLate()
                            ? new ClaimResult.Unknown(claim(), reason)
                            : new ClaimResult.Unavailable(reason);
            return () -> mListener.accept(result);
        }

        @Override
        Runnable report() {
            ClaimResult result = mResult;
            return () -> mListener.accept(result);
        }

        private Next granted() {
            mResult = new ClaimResult.Granted(claim());
            return Next.DONE;
        }

        private Next taken(ClaimRecord found) {
            mResult =
                    new ClaimResult.AlreadyClaimed(found.attemptId(), found.agent(), found.state());
            return Next.DONE;
        }
    }

    /**
     * A release. It leaves a value that says so, which also keeps a claim of the same attempt from
     * taking effect if it arrives late.
     */
    static final class Releasing extends PendingChange {
        private final Consumer<ReleaseResult> mListener;
        private ReleaseResult mResult;

        Releasing(Claim claim, long nowNanos, Consumer<ReleaseResult> listener) {
            super(claim, nowNanos);
            mListener = listener;
        }

        @Override
        Transaction transaction(long leaseId) {
            byte[] held = ClaimRecord.of(claim(), ClaimState.CLAIMED).encode();
            byte[] released = ClaimRecord.of(claim(), ClaimState.RELEASED).encode();
            Operation put = new Operation.Put(key(), released, leaseId);
            Transaction ifAbsent =
                    new Transaction(
                            List.of(new Compare.Absent(key())),
                            List.of(put),
                            List.of(new Operation.Get(key())));
            return new Transaction(
                    List.of(new Compare.ValueEquals(key(), held)),
                    List.of(put),
                    List.of(new Operation.Nested(ifAbsent)));
        }

        @Override
        Next answered(TransactionResult result) {
            if (result.compared() || result.nested(0).compared()) {
                mResult = new ReleaseResult.Released();
                return Next.DONE;
            }
            return readBack(result.nested(0).read(0));
        }

        @Override
        Next readBack(Optional<KeyEntry> entry) {
            if (entry.isEmpty()) {
                return Next.REPEAT;
            }
            Optional<ClaimRecord> found = ClaimRecord.decode(entry.get());
            boolean own = found.filter(f -> isBy(claim(), f)).isPresent();
            if (own && found.get().state() == ClaimState.CLAIMED) {
                return Next.REPEAT;
            }
            mResult = own ? new ReleaseResult.Released() : new ReleaseResult.NotHeld();
            return Next.DONE;
        }

        @Override
        Runnable failure(String reason) {
            return () -> mListener.accept(new ReleaseResult.Failed(reason));
        }

        @Override
        Runnable report() {
            ReleaseResult result = mResult;
            return () -> mListener.accept(result);
        }
    }
}
