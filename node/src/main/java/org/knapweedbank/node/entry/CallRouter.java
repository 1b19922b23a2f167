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
    private final Map<Long, Pending> mPending = new HashMap<>();
    private long mNumber;
    private OwnerDuty mLocal;
    private Link mRemote;

    CallRouter(Timers timers, DecisionLog log) {
        mTimers = timers;
        mLog = log;
    }

    boolean hasOwner() {
        return mLocal != null || mRemote != null;
    }

    void local(OwnerDuty owner) {
        mLocal = owner;
        dispatchAll();
    }

    void remote(Link owner) {
        mRemote = owner;
        dispatchAll();
    }

    void call(CallRequest request, Duration limit, Consumer<CallAnswer> done) {
        Pending pending = new Pending(++mNumber, request, done);
        mPending.put(pending.mNumber, pending);
        mTimers.after(limit, () -> expire(pending));
        dispatch(pending);
        if (!pending.mSent && mPending.containsKey(pending.mNumber)) {
            mTimers.after(OWNER_WAIT, () -> giveUp(pending));
        }
    }

    void replied(long number, CallAnswer answer) {
        Pending pending = mPending.remove(number);
        if (pending != null) {
            pending.mDone.accept(answer);
        }
    }

    private void dispatchAll() {
        List.copyOf(mPending.values()).forEach(this::dispatch);
    }

    private void dispatch(Pending pending) {
        if (mLocal != null) {
            pending.mSent = true;
            mLocal.call(pending.mRequest, answer -> answered(pending, answer));
        } else if (mRemote != null) {
            pending.mSent = true;
            mRemote.send(new NodeMessage.Call(pending.mNumber, pending.mRequest));
        }
    }

    private void answered(Pending pending, CallAnswer answer) {
        if (answer != null) {
            replied(pending.mNumber, answer);
        }
    }

    private void giveUp(Pending pending) {
        if (!pending.mSent && mPending.remove(pending.mNumber) != null) {
            mLog.record("call.refused", pending.mRequest.queue(), "cause", "no owner");
            pending.mDone.accept(new CallAnswer.Refused("no owner", false, RETRY_AFTER));
        }
    }

    private void expire(Pending pending) {
        if (mPending.remove(pending.mNumber) != null) {
            boolean unknown = pending.mSent && changes(pending.mRequest);
            mLog.record("call.expired", pending.mRequest.queue(), "outcome_unknown", unknown);
            pending.mDone.accept(
                    unknown
                            ? new CallAnswer.OutcomeUnknown("no answer of the owner in time")
                            : new CallAnswer.Refused("no owner", false, RETRY_AFTER));
        }
    }

    /** Tells whether a request may have changed something though no answer came. */
    private static boolean changes(CallRequest request) {
        return request instanceof CallRequest.Submit || request instanceof CallRequest.Cancel;
    }

    /** A request without an answer. */
    private static final class Pending {
        final long mNumber;
        final CallRequest mRequest;
        final Consumer<CallAnswer> mDone;
        boolean mSent;

        Pending(long number, CallRequest request, Consumer<CallAnswer> done) {
            mNumber = number;
            mRequest = request;
            mDone = done;
        }
    }
}
