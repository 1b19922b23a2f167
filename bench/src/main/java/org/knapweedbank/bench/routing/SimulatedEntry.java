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
    static final long DEADLINE = Duration.ofSeconds(1).toNanos();
    private static final int MAX_OPEN = 256;
    private static final long LOCAL_NANOS = 250_000;
    private static final long REMOTE_NANOS = 4_000_000;
    private static final long JITTER_NANOS = 500_000;
    private static final long BROKEN_NANOS = 1_000_000;
    private static final int OK = 200;
    private static final String SERVICE = "s";

    private final VirtualTime mTime;
    private final int mDataCentre;
    private final SimulatedPool mPool;
    private final RetryBudget mRetries;
    private final HedgePolicy mHedges;
    private final Map<UpstreamId, SimulatedUpstream> mUpstreams;
    private final UniformRandomProvider mRandom;
    private final AdmissionController mAdmission = new AdmissionController();
    private final PolicyResult mResult;

    SimulatedEntry(
            VirtualTime time,
            int dataCentre,
            SimulatedPool pool,
            RetryBudget retries,
            HedgePolicy hedges,
            Map<UpstreamId, SimulatedUpstream> upstreams,
            UniformRandomProvider random,
            PolicyResult result) {
        mTime = time;
        mDataCentre = dataCentre;
        mPool = pool;
        mRetries = retries;
        mHedges = hedges;
        mUpstreams = upstreams;
        mRandom = random;
        mResult = result;
    }

    SimulatedPool pool() {
        return mPool;
    }

    void arrive(Arrival arrival) {
        Duration expected = mPool.expectedDelay().orElse(Duration.ZERO);
        Admission admission =
                mAdmission.admit(SERVICE, MAX_OPEN, Duration.ofNanos(DEADLINE), expected);
        if (admission instanceof Admission.Refused) {
            mResult.refused();
            return;
        }
        new Exchange(arrival).apply(new PlanEvent.Start());
    }

    private long delay(SimulatedUpstream upstream) {
        long base = upstream.dataCentre() == mDataCentre ? LOCAL_NANOS : REMOTE_NANOS;
        return base + (long) (-Math.log(1 - mRandom.nextDouble()) * JITTER_NANOS);
    }

    /** One request. */
    private final class Exchange {
        private final Arrival mArrival;
        private final long mDeadline;
        private final RequestPlan mPlan;
        private boolean mReleased;

        Exchange(Arrival arrival) {
            mArrival = arrival;
            mDeadline = mTime.monotonicNanos() + DEADLINE;
            RequestRules rules = new RequestRules(arrival.idempotent(), false, false, mDeadline);
            mPlan = new RequestPlan(rules, mPool, mRetries, mHedges, mTime);
            mTime.at(mDeadline, () -> apply(new PlanEvent.DeadlinePassed()));
        }

        void apply(PlanEvent event) {
            mPlan.on(event).forEach(this::execute);
            if (mPlan.finished() && !mReleased) {
                mReleased = true;
                mAdmission.release(SERVICE);
            }
        }

        private void execute(PlanAction action) {
            switch (action) {
                case PlanAction.Send send -> send(send);
                case PlanAction.SetHedgeTimer set ->
                        mTime.after(set.delay().toNanos(), () -> apply(new PlanEvent.HedgeDue()));
                case PlanAction.EndAnswer end ->
                        mResult.answered(mTime.monotonicNanos() - mArrival.nanos());
                case PlanAction.Refuse refuse -> refused(refuse.outcome());
                default -> {
                    // Answers are single and whole, so there is nothing to forward or abort.
                }
            }
        }

        private void refused(RequestOutcome outcome) {
            if (outcome instanceof RequestOutcome.NotRun) {
                mResult.refused();
            } else {
                mResult.failed();
            }
        }

        private void send(PlanAction.Send send) {
            mResult.sent(send.attempt());
            SimulatedUpstream upstream = mUpstreams.get(send.upstream());
            mTime.after(
                    delay(upstream),
                    () ->
                            upstream.receive(
                                    mArrival.serviceNanos(),
                                    mDeadline,
                                    new Answers(send.attempt(), upstream)));
        }

        /** Carries the answer of one attempt back to the entry. */
        private final class Answers implements SimulatedUpstream.Receiver {
            private final int mAttempt;
            private final SimulatedUpstream mUpstream;

            Answers(int attempt, SimulatedUpstream upstream) {
                mAttempt = attempt;
                mUpstream = upstream;
            }

            @Override
            public void answered(UpstreamLoad load) {
                mTime.after(
                        delay(mUpstream),
                        () -> {
                            mPool.reported(mUpstream.id(), load);
                            apply(new PlanEvent.Head(mAttempt, OK, false));
                            apply(new PlanEvent.End(mAttempt, 0, 0));
                        });
            }

            @Override
            public void notRun(UpstreamLoad load) {
                mTime.after(
                        delay(mUpstream),
                        () -> {
                            mPool.reported(mUpstream.id(), load);
                            apply(new PlanEvent.NotRun(mAttempt, "busy", false));
                        });
            }

            @Override
            public void broken() {
                mTime.after(
                        delay(mUpstream) + BROKEN_NANOS,
                        () -> apply(new PlanEvent.ConnectionLost(mAttempt, "broken")));
            }
        }
    }
}
