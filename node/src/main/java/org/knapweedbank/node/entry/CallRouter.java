package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.CallRequest;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.NodeMessage;

/**
 * Routes callers' requests to the owner. A request that was sent to no owner is refused after
 * {@link #OWNER_WAIT}. A request that an owner may have handled is repeated at the next owner,
 * which is idempotent because the caller chooses the job's identifier. If no answer arrives before
 * its timeout, its outcome is reported as unknown.
 */
final class CallRouter {
    /**
     * Time that a request waits for an owner. A takeover takes longer only if the old owner has
     * stopped responding.
     */
    private static final Duration OWNER_WAIT = Duration.ofMillis(250);

    /** Delay that a refused caller is told to wait before a retry. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Timers mTimers;
    private final DecisionLog mLog;
    private final Map<Long, PendingCall> mPendingCalls = new HashMap<>();
    private long mLastNumber;
    private OwnershipTerm mLocalOwner;
    private Link mRemoteOwner;

    CallRouter(Timers timers, DecisionLog log) {
        mTimers = timers;
        mLog = log;
    }

    boolean hasOwner() {
        return mLocalOwner != null || mRemoteOwner != null;
    }

    /** Routes requests to the owner in this process; null if this entry is not the owner. */
    void setLocalOwner(OwnershipTerm owner) {
        mLocalOwner = owner;
        dispatchPending();
    }

    /** Routes requests to the owner on another entry; null if the link is closed. */
    void setRemoteOwner(Link owner) {
        mRemoteOwner = owner;
        dispatchPending();
    }

    /** Routes a request and answers it within the timeout. */
    void call(CallRequest request, Duration timeout, Consumer<CallAnswer> done) {
        PendingCall pending = new PendingCall(++mLastNumber, request, done);
        mPendingCalls.put(pending.mNumber, pending);
        mTimers.after(timeout, () -> expire(pending));
        dispatch(pending);
        if (!pending.mSent && mPendingCalls.containsKey(pending.mNumber)) {
            mTimers.after(OWNER_WAIT, () -> refuseIfUnsent(pending));
        }
    }

    /** Answers the request with the given number; ignores it if it is no longer pending. */
    void complete(long number, CallAnswer answer) {
        PendingCall pending = mPendingCalls.remove(number);
        if (pending != null) {
            pending.mDone.accept(answer);
        }
    }

    private void dispatchPending() {
        List.copyOf(mPendingCalls.values()).forEach(this::dispatch);
    }

    private void dispatch(PendingCall pending) {
        if (mLocalOwner != null) {
            pending.mSent = true;
            mLocalOwner.call(pending.mRequest, answer -> completeIfAnswered(pending, answer));
        } else if (mRemoteOwner != null) {
            pending.mSent = true;
            mRemoteOwner.send(new NodeMessage.Call(pending.mNumber, pending.mRequest));
        }
    }

    /** Leaves a request pending if the answer is null, which means that the ownership ended. */
    private void completeIfAnswered(PendingCall pending, CallAnswer answer) {
        if (answer != null) {
            complete(pending.mNumber, answer);
        }
    }

    private void refuseIfUnsent(PendingCall pending) {
        if (!pending.mSent && mPendingCalls.remove(pending.mNumber) != null) {
            mLog.record("call.refused", pending.mRequest.queue(), "cause", "no owner");
            pending.mDone.accept(new CallAnswer.Refused("no owner", false, RETRY_AFTER));
        }
    }

    private void expire(PendingCall pending) {
        if (mPendingCalls.remove(pending.mNumber) != null) {
            boolean unknown = pending.mSent && changesState(pending.mRequest);
            mLog.record("call.expired", pending.mRequest.queue(), "outcome_unknown", unknown);
            pending.mDone.accept(
                    unknown
                            ? new CallAnswer.OutcomeUnknown("no answer of the owner in time")
                            : new CallAnswer.Refused("no owner", false, RETRY_AFTER));
        }
    }

    /** Returns whether a request without an answer may have changed a job. */
    private static boolean changesState(CallRequest request) {
        return request instanceof CallRequest.Submit || request instanceof CallRequest.Cancel;
    }

    /** A request that has not been answered yet. */
    private static final class PendingCall {
        final long mNumber;
        final CallRequest mRequest;
        final Consumer<CallAnswer> mDone;
        boolean mSent;

        PendingCall(long number, CallRequest request, Consumer<CallAnswer> done) {
            mNumber = number;
            mRequest = request;
            mDone = done;
        }
    }
}
