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

/**
 * Simulated entry that executes the request plans of its arrivals with an upstream pool and network
 * delays.
 */
final class SimulatedEntry {
    /** Time from the arrival of a request to its deadline. */
    static final long REQUEST_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    private static final int MAX_OPEN_REQUESTS = 256;

    /** Network delay to an upstream of the same data centre. */
    private static final long LOCAL_DELAY_NANOS = 250_000;

    /** Network delay to an upstream of another data centre. */
    private static final long REMOTE_DELAY_NANOS = 4_000_000;

    /** Mean of the exponentially distributed part of the network delay. */
    private static final long MEAN_JITTER_NANOS = 500_000;

    /** Additional time until the entry detects that a connection is broken. */
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

    /**
     * Creates an entry.
     *
     * @param time virtual time of the run
     * @param dataCentre index of the entry's data centre
     * @param pool pool that selects the upstreams
     * @param retryBudget budget of the retries
     * @param hedgePolicy policy of the hedged attempts
     * @param upstreams all upstreams by identifier
     * @param random source of the network delays
     * @param result receives the outcomes
     */
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

    /** Admits or refuses a request at its arrival; an admitted one is sent at once. */
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

    /** Returns a random network delay of one way between the entry and an upstream. */
    private long networkDelayNanos(SimulatedUpstream upstream) {
        long baseNanos =
                upstream.dataCentre() == mDataCentre ? LOCAL_DELAY_NANOS : REMOTE_DELAY_NANOS;
        return baseNanos + (long) (-Math.log(1 - mRandom.nextDouble()) * MEAN_JITTER_NANOS);
    }

    /** One admitted request, from its arrival to its final outcome. */
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

        /**
         * Passes an event to the plan, executes the resulting actions and releases the admission
         * when the plan has finished.
         */
        void handle(PlanEvent event) {
            mPlan.handle(event).forEach(this::execute);
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
                    // Simulated answers are not split into parts, so there is nothing to forward or
                    // abort.
                }
            }
        }

        /**
         * Counts a request without an answer: as refused if no upstream executed it, else as
         * failed.
         */
        private void recordRefusal(RequestOutcome outcome) {
            if (outcome instanceof RequestOutcome.NotRun) {
                mResult.recordRefusal();
            } else {
                mResult.recordFailure();
            }
        }

        /** Sends an attempt to its upstream, where it arrives after a network delay. */
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

        /** Returns the result of one attempt to the entry after a network delay. */
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
