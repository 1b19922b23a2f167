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
 * Passes callers' requests to the owner. A request that reached no owner is refused after a short
 * wait; one that an owner may have handled is repeated at the next owner, which is safe because
 * jobs are identified by the caller, and is answered as unknown when its time is up.
 */
final class CallRouter {
    /**
     * How long a request waits for an owner; a takeover takes longer only if the owner is silent.
     */
    private static final Duration OWNER_WAIT = Duration.ofMillis(250);

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

    void setLocalOwner(OwnershipTerm owner) {
        mLocalOwner = owner;
        dispatchPending();
    }

    void setRemoteOwner(Link owner) {
        mRemoteOwner = owner;
        dispatchPending();
    }

    void call(CallRequest request, Duration timeout, Consumer<CallAnswer> done) {
        PendingCall pending = new PendingCall(++mLastNumber, request, done);
        mPendingCalls.put(pending.mNumber, pending);
        mTimers.after(timeout, () -> expire(pending));
        dispatch(pending);
        if (!pending.mSent && mPendingCalls.containsKey(pending.mNumber)) {
            mTimers.after(OWNER_WAIT, () -> refuseIfUnsent(pending));
        }
    }

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

    /** Tells whether a request may have changed something though no answer came. */
    private static boolean changesState(CallRequest request) {
        return request instanceof CallRequest.Submit || request instanceof CallRequest.Cancel;
    }

    /** A request without an answer. */
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
