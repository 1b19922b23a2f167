package org.knapweedbank.bench.routing;

import java.time.Duration;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.knapweedbank.model.RequestOutcome;
import org.knapweedbank.routing.Admission;
import org.knapweedbank.routing.AdmissionController;
import org.knapweedbank.routing.HedgePolicy;
import org.knapweedbank.routing.PlanAction;
import org.knapweedbank.routing.PlanEvent;
import org.knapweedbank.routing.RequestPlan;
import org.knapweedbank.routing.RequestRules;
import org.knapweedbank.routing.RetryBudget;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.routing.UpstreamLoad;

/** Entry that runs the request plans of its arrivals over a policy. */
final class SimulatedEntry {
    static final long REQUEST_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_OPEN_REQUESTS = 256;
    private static final long LOCAL_DELAY_NANOS = 250_000;
    private static final long REMOTE_DELAY_NANOS = 4_000_000;
    private static final long MEAN_JITTER_NANOS = 500_000;
    private static final long BREAK_DETECTION_NANOS = 1_000_000;
    private static final int STATUS_OK = 200;
    private static final String SERVICE = "s";

    private final VirtualTime mTime;
    private final int mDataCentre;
    private final SimulatedPool mPool;
    private final RetryBudget mRetryBudget;
    private final HedgePolicy mHedgePolicy;
    private final Map<UpstreamId, SimulatedUpstream> mUpstreams;
    private final UniformRandomProvider mRandom;
    private final AdmissionController mAdmission = new AdmissionController();
    private final PolicyResult mResult;

    SimulatedEntry(
            VirtualTime time,
            int dataCentre,
            SimulatedPool pool,
            RetryBudget retryBudget,
            HedgePolicy hedgePolicy,
            Map<UpstreamId, SimulatedUpstream> upstreams,
            UniformRandomProvider random,
            PolicyResult result) {
        mTime = time;
        mDataCentre = dataCentre;
        mPool = pool;
        mRetryBudget = retryBudget;
        mHedgePolicy = hedgePolicy;
        mUpstreams = upstreams;
        mRandom = random;
        mResult = result;
    }

    SimulatedPool pool() {
        return mPool;
    }

    void receive(Arrival arrival) {
        Duration expectedDelay = mPool.expectedDelay().orElse(Duration.ZERO);
        Admission admission =
                mAdmission.admit(
                        SERVICE,
                        MAX_OPEN_REQUESTS,
                        Duration.ofNanos(REQUEST_TIMEOUT_NANOS),
                        expectedDelay);
        if (admission instanceof Admission.Refused) {
            mResult.recordRefusal();
            return;
        }
        new Exchange(arrival).handle(new PlanEvent.Start());
    }

    private long networkDelayNanos(SimulatedUpstream upstream) {
        long baseNanos =
                upstream.dataCentre() == mDataCentre ? LOCAL_DELAY_NANOS : REMOTE_DELAY_NANOS;
        return baseNanos + (long) (-Math.log(1 - mRandom.nextDouble()) * MEAN_JITTER_NANOS);
    }

    /** One request. */
    private final class Exchange {
        private final Arrival mArrival;
        private final long mDeadlineNanos;
        private final RequestPlan mPlan;
        private boolean mAdmissionReleased;

        Exchange(Arrival arrival) {
            mArrival = arrival;
            mDeadlineNanos = mTime.monotonicNanos() + REQUEST_TIMEOUT_NANOS;
            RequestRules rules =
                    new RequestRules(arrival.idempotent(), false, false, mDeadlineNanos);
            mPlan = new RequestPlan(rules, mPool, mRetryBudget, mHedgePolicy, mTime);
            mTime.scheduleAt(mDeadlineNanos, () -> handle(new PlanEvent.DeadlinePassed()));
        }

        void handle(PlanEvent event) {
            mPlan.on(event).forEach(this::execute);
            if (mPlan.finished() && !mAdmissionReleased) {
                mAdmissionReleased = true;
                mAdmission.release(SERVICE);
            }
        }

        private void execute(PlanAction action) {
            switch (action) {
                case PlanAction.Send send -> send(send);
                case PlanAction.SetHedgeTimer set ->
                        mTime.scheduleAfter(
                                set.delay().toNanos(), () -> handle(new PlanEvent.HedgeDue()));
                case PlanAction.EndAnswer end ->
                        mResult.recordAnswer(mTime.monotonicNanos() - mArrival.nanos());
                case PlanAction.Refuse refuse -> recordRefusal(refuse.outcome());
                default -> {
                    // Answers are single and whole, so there is nothing to forward or abort.
                }
            }
        }

        private void recordRefusal(RequestOutcome outcome) {
            if (outcome instanceof RequestOutcome.NotRun) {
                mResult.recordRefusal();
            } else {
                mResult.recordFailure();
            }
        }

        private void send(PlanAction.Send send) {
            mResult.recordAttempt(send.attempt());
            SimulatedUpstream upstream = mUpstreams.get(send.upstream());
            mTime.scheduleAfter(
                    networkDelayNanos(upstream),
                    () ->
                            upstream.receive(
                                    mArrival.serviceNanos(),
                                    mDeadlineNanos,
                                    new AttemptResponse(send.attempt(), upstream)));
        }

        /** Carries the answer of one attempt back to the entry. */
        private final class AttemptResponse implements SimulatedUpstream.AttemptListener {
            private final int mAttempt;
            private final SimulatedUpstream mUpstream;

            AttemptResponse(int attempt, SimulatedUpstream upstream) {
                mAttempt = attempt;
                mUpstream = upstream;
            }

            @Override
            public void onAnswer(UpstreamLoad load) {
                mTime.scheduleAfter(
                        networkDelayNanos(mUpstream),
                        () -> {
                            mPool.recordLoad(mUpstream.id(), load);
                            handle(new PlanEvent.Head(mAttempt, STATUS_OK, false));
                            handle(new PlanEvent.End(mAttempt, 0, 0));
                        });
            }

            @Override
            public void onNotRun(UpstreamLoad load) {
                mTime.scheduleAfter(
                        networkDelayNanos(mUpstream),
                        () -> {
                            mPool.recordLoad(mUpstream.id(), load);
                            handle(new PlanEvent.NotRun(mAttempt, "busy", false));
                        });
            }

            @Override
            public void onConnectionBroken() {
                mTime.scheduleAfter(
                        networkDelayNanos(mUpstream) + BREAK_DETECTION_NANOS,
                        () -> handle(new PlanEvent.ConnectionLost(mAttempt, "broken")));
            }
        }
    }
}
