package org.knapweedbank.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.knapweedbank.model.RequestOutcome;
import org.knapweedbank.time.Clock;

/**
 * Life of one caller's request: decides every claim, attempt, hedge and the final outcome. Pure and
 * used from one thread; the entry reports events and carries out the actions returned, in order.
 *
 * <p>Rules kept here: a request that is not idempotent is handed to a connection at most once,
 * except after {@link PlanEvent.NotSent}; "not run" is stated only when each attempt is proven not
 * to have run; an answer ends as complete only when all its parts have arrived; a claim is released
 * only after a proven "not run". Events of attempts that have ended have no effect.
 */
public final class RequestPlan {
    /** Attempts for one request, without those that continue a stream. */
    private static final int MAX_ATTEMPTS = 3;

    /**
     * Body bytes held back before the answer is committed to the caller. A failure of a smaller
     * answer can still be retried or refused with a status.
     */
    private static final int COMMIT_BYTES = 64 * 1024;

    /** Attempts without progress after which a stream is given up. */
    private static final int MAX_RESUMES = 50;

    private static final Duration RESUME_DELAY = Duration.ofMillis(200);
    private static final Duration RESUME_TIMEOUT = Duration.ofSeconds(5);

    /**
     * Silence until the deadline that counts against the upstream. A shorter deadline is the
     * caller's choice and says nothing about the upstream.
     */
    private static final long FAILED_SILENCE_NANOS = Duration.ofSeconds(1).toNanos();

    private static final int FIRST_ERROR_STATUS = 500;
    private static final int STATUS_OK = 200;

    private enum Phase {
        NEW,
        CLAIMING,
        SENDING,
        /** Part of the answer of the winner has been sent to the caller. */
        ANSWERING,
        /** An event stream is broken and the next upstream is not known yet. */
        RESUMING,
        FINISHED
    }

    private final RequestRules mRules;
    private final UpstreamPool mPool;
    private final RetryBudget mRetries;
    private final HedgePolicy mHedges;
    private final Clock mClock;
    private final Map<Integer, PlanAttempt> mLive = new LinkedHashMap<>();
    private final Set<UpstreamId> mTried = new HashSet<>();
    private Phase mPhase = Phase.NEW;
    private int mAttempts;
    private int mResumes;
    private boolean mMayHaveRun;
    private boolean mClaimHeld;
    private UpstreamId mClaimedFor;
    private UpstreamId mLastStreamUpstream;
    private Refusal mLastRefusal = Refusal.NO_UPSTREAM;
    private long mStartNanos;
    private List<PlanAction> mActions = new ArrayList<>();

    /**
     * Creates the plan of one request.
     *
     * @param rules properties of the request
     * @param pool upstreams of its service
     * @param retries retry budget of its service
     * @param hedges hedge policy of its service
     * @param clock clock
     */
    public RequestPlan(
            RequestRules rules,
            UpstreamPool pool,
            RetryBudget retries,
            HedgePolicy hedges,
            Clock clock) {
        mRules = rules;
        mPool = pool;
        mRetries = retries;
        mHedges = hedges;
        mClock = clock;
    }

    /**
     * Takes an event.
     *
     * @param event the event
     * @return actions to carry out in order, possibly none
     */
    public List<PlanAction> on(PlanEvent event) {
        mActions = new ArrayList<>();
        switch (event) {
            case PlanEvent.Start start -> start();
            case PlanEvent.ClaimGranted granted -> claimGranted();
            case PlanEvent.ClaimHeld held -> claimHeld(held);
            case PlanEvent.ClaimUnavailable refused -> claimFailed(refused.reason(), false);
            case PlanEvent.ClaimUnknown unknown -> claimFailed(unknown.reason(), true);
            case PlanEvent.NotSent notSent -> notSent(notSent);
            case PlanEvent.ConnectionLost lost ->
                    failed(mLive.get(lost.attempt()), lost.reason(), false);
            case PlanEvent.Head head -> head(head);
            case PlanEvent.Chunk chunk -> chunk(chunk);
            case PlanEvent.End end -> end(end);
            case PlanEvent.NotRun notRun -> notRun(notRun);
            case PlanEvent.OutcomeUnknown unknown ->
                    failed(mLive.get(unknown.attempt()), unknown.reason(), false);
            case PlanEvent.StreamMoved moved -> streamMoved(moved);
            case PlanEvent.HedgeDue due -> hedge();
            case PlanEvent.ResumeDue due -> resume();
            case PlanEvent.DeadlinePassed passed -> deadlinePassed();
            case PlanEvent.CallerGone gone -> callerGone();
        }
        return mActions;
    }

    /**
     * Tells whether the request has ended. A claim that is granted later is still released.
     *
     * @return true after the last action for the caller
     */
    public boolean finished() {
        return mPhase == Phase.FINISHED;
    }

    private void start() {
        if (mPhase != Phase.NEW) {
            return;
        }
        mStartNanos = mClock.monotonicNanos();
        mRetries.deposit();
        mHedges.deposit();
        if (remainingNanos() <= 0) {
            refuse(Refusal.DEADLINE, "the deadline has passed");
        } else if (mRules.keyed()) {
            claim();
        } else {
            mPhase = Phase.SENDING;
            sendFirst();
        }
    }

    private void claim() {
        Optional<UpstreamId> upstream = mPool.select(Set.of());
        if (upstream.isEmpty()) {
            refuse(Refusal.NO_UPSTREAM, "no upstream can take the request");
            return;
        }
        mPhase = Phase.CLAIMING;
        mClaimedFor = upstream.get();
        mActions.add(new PlanAction.Claim(mClaimedFor.agent().value()));
    }

    private void claimGranted() {
        if (mPhase == Phase.CLAIMING) {
            mClaimHeld = true;
            mPhase = Phase.SENDING;
            sendFirst();
        } else if (mPhase == Phase.FINISHED && mAttempts == 0 && !mClaimHeld) {
            // The request ended while the claim was on its way; it has not been sent.
            mActions.add(new PlanAction.ReleaseClaim());
        }
    }

    private void claimHeld(PlanEvent.ClaimHeld held) {
        if (mPhase != Phase.CLAIMING) {
            return;
        }
        mPhase = Phase.SENDING;
        mMayHaveRun = true;
        if (held.agent().isEmpty()) {
            refuse(Refusal.KEY_USED, "the key has been used before");
            return;
        }
        PlanAttempt attempt = new PlanAttempt(++mAttempts, null, false, mClock.monotonicNanos());
        mLive.put(attempt.number(), attempt);
        mActions.add(new PlanAction.Replay(attempt.number(), held.agent(), held.attemptId()));
    }

    private void claimFailed(String reason, boolean mayBeClaimed) {
        if (mayBeClaimed && mAttempts == 0) {
            mActions.add(new PlanAction.ReleaseClaim());
        }
        if (mPhase == Phase.CLAIMING) {
            refuse(Refusal.STORE_UNAVAILABLE, reason);
        }
    }

    private void sendFirst() {
        if (mClaimedFor != null && mPool.available(mClaimedFor)) {
            send(mClaimedFor, false);
        } else {
            sendNext("no upstream can take the request");
        }
    }

    private void sendNext(String reason) {
        Optional<UpstreamId> upstream = mPool.select(mTried);
        if (upstream.isPresent()) {
            send(upstream.get(), false);
        } else {
            refuse(mLastRefusal, reason);
        }
    }

    private void send(UpstreamId upstream, boolean resume) {
        PlanAttempt attempt =
                new PlanAttempt(++mAttempts, upstream, resume, mClock.monotonicNanos());
        mLive.put(attempt.number(), attempt);
        mTried.add(upstream);
        mPool.sent(upstream);
        mActions.add(new PlanAction.Send(attempt.number(), upstream, resume));
        if (mAttempts == 1 && mRules.idempotent() && !mRules.stream()) {
            mHedges.delay().ifPresent(d -> mActions.add(new PlanAction.SetHedgeTimer(d)));
        }
    }

    private void hedge() {
        boolean waiting = mPhase == Phase.SENDING && mLive.size() == 1 && mAttempts == 1;
        if (!waiting || mRules.stream() || !mRules.idempotent()) {
            return;
        }
        Optional<UpstreamId> upstream = mPool.select(mTried);
        if (upstream.isPresent() && mHedges.withdraw()) {
            send(upstream.get(), false);
        }
    }

    private void notSent(PlanEvent.NotSent event) {
        PlanAttempt attempt = mLive.get(event.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.anyFrame()) {
            failed(attempt, event.reason(), true);
            return;
        }
        endAttempt(attempt, AttemptResult.FAILED);
        mLastRefusal = Refusal.NO_UPSTREAM;
        attemptFailed(attempt, event.reason(), !attempt.replay());
    }

    private void notRun(PlanEvent.NotRun event) {
        PlanAttempt attempt = mLive.get(event.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.anyFrame()) {
            // Contradicts the answer that has begun, so it is no proof.
            failed(attempt, event.reason(), false);
            return;
        }
        endAttempt(attempt, event.failure() ? AttemptResult.FAILED : AttemptResult.REFUSED);
        mLastRefusal = event.failure() ? Refusal.NO_UPSTREAM : Refusal.BUSY;
        attemptFailed(attempt, event.reason(), mRules.idempotent());
    }

    /** Ends an attempt that may have run. */
    private void failed(PlanAttempt attempt, String reason, boolean cancel) {
        if (attempt == null) {
            return;
        }
        if (cancel) {
            mActions.add(new PlanAction.Cancel(attempt.number()));
        }
        endAttempt(attempt, AttemptResult.FAILED);
        mMayHaveRun = true;
        mLastRefusal = Refusal.UPSTREAM_FAILED;
        attemptFailed(attempt, reason, mRules.idempotent());
    }

    private void attemptFailed(PlanAttempt attempt, String reason, boolean mayRepeat) {
        if (mPhase == Phase.ANSWERING) {
            continueOrAbort(attempt, reason);
        } else if (!mLive.isEmpty()) {
            return;
        } else if (attempt.replay()) {
            refuse(Refusal.KEY_USED, "the key has been used and its answer is not available");
        } else if (attempt.resume()) {
            resumeLater(reason);
        } else if (mayRepeat
                && mAttempts < MAX_ATTEMPTS
                && remainingNanos() > 0
                && mRetries.withdraw()) {
            sendNext(reason);
        } else {
            refuse(mLastRefusal, reason);
        }
    }

    private void continueOrAbort(PlanAttempt attempt, String reason) {
        if (attempt.stream() && mRules.idempotent()) {
            resumeLater(reason);
        } else {
            abort(reason);
        }
    }

    private void resumeLater(String reason) {
        mPhase = Phase.RESUMING;
        mResumes++;
        if (mResumes > MAX_RESUMES) {
            abort(reason);
        } else if (mResumes == 1) {
            resume();
        } else {
            mActions.add(new PlanAction.SetResumeTimer(RESUME_DELAY));
        }
    }

    private void resume() {
        if (mPhase != Phase.RESUMING) {
            return;
        }
        if (!mLive.isEmpty()) {
            failed(mLive.values().iterator().next(), "no answer from the next upstream", true);
            return;
        }
        // The upstream that moved or broke is avoided once; later it may be back.
        Optional<UpstreamId> upstream = mPool.select(mResumes == 1 ? lastTried() : Set.of());
        if (upstream.isPresent()) {
            send(upstream.get(), true);
            mActions.add(new PlanAction.SetResumeTimer(RESUME_TIMEOUT));
        } else {
            resumeLater("no upstream can continue the stream");
        }
    }

    private Set<UpstreamId> lastTried() {
        return mLastStreamUpstream == null ? Set.of() : Set.of(mLastStreamUpstream);
    }

    private void streamMoved(PlanEvent.StreamMoved event) {
        PlanAttempt attempt = mLive.get(event.attempt());
        if (attempt == null || !mRules.idempotent() || !mRules.stream()) {
            failed(attempt, "the upstream moved a request that is not a stream", true);
            return;
        }
        mLastStreamUpstream = attempt.upstream();
        endAttempt(attempt, AttemptResult.REFUSED);
        if (mPhase == Phase.ANSWERING) {
            resumeLater("the upstream is leaving");
        } else {
            attemptFailed(attempt, "the upstream is leaving", true);
        }
    }

    private void head(PlanEvent.Head event) {
        PlanAttempt attempt = mLive.get(event.attempt());
        if (attempt == null) {
            return;
        }
        attempt.head(event.status(), event.stream());
        if (attempt.resume() && !(event.stream() && event.status() == STATUS_OK)) {
            failed(attempt, "the stream could not be continued", true);
            return;
        }
        advance(attempt);
    }

    private void chunk(PlanEvent.Chunk event) {
        PlanAttempt attempt = mLive.get(event.attempt());
        if (attempt != null) {
            attempt.chunk(event.index(), event.bytes());
            advance(attempt);
        }
    }

    private void end(PlanEvent.End event) {
        PlanAttempt attempt = mLive.get(event.attempt());
        if (attempt != null) {
            attempt.end(event.chunks(), event.bytes());
            advance(attempt);
        }
    }

    /** Forwards what can be forwarded and ends the answer when it is complete. */
    private void advance(PlanAttempt attempt) {
        if (attempt.assembly().corrupt()) {
            failed(attempt, "the answer of the upstream is truncated", true);
            return;
        }
        if (!attempt.hasHead()) {
            return;
        }
        boolean complete = attempt.assembly().complete();
        boolean commit = complete || attempt.stream() || attempt.bufferedBytes() > COMMIT_BYTES;
        if (mPhase != Phase.ANSWERING && commit) {
            commit(attempt);
        }
        if (mPhase == Phase.ANSWERING) {
            forward(attempt);
            if (complete) {
                complete(attempt);
            }
        }
    }

    private void commit(PlanAttempt winner) {
        for (PlanAttempt other : List.copyOf(mLive.values())) {
            if (other != winner) {
                mActions.add(new PlanAction.Cancel(other.number()));
                endAttempt(other, AttemptResult.CANCELLED);
            }
        }
        mPhase = Phase.ANSWERING;
        if (!winner.resume()) {
            mActions.add(new PlanAction.ForwardHead(winner.number()));
        }
    }

    private void forward(PlanAttempt attempt) {
        for (byte[] part : attempt.takeBuffered()) {
            mResumes = 0;
            mActions.add(new PlanAction.ForwardBody(attempt.number(), part));
        }
    }

    private void complete(PlanAttempt attempt) {
        boolean error = attempt.status() >= FIRST_ERROR_STATUS;
        endAttempt(attempt, error ? AttemptResult.ERROR_ANSWER : AttemptResult.ANSWERED);
        if (!attempt.stream()) {
            mHedges.answered(mClock.monotonicNanos() - mStartNanos);
        }
        mPhase = Phase.FINISHED;
        mActions.add(new PlanAction.EndAnswer());
    }

    private void deadlinePassed() {
        boolean streaming = mPhase == Phase.RESUMING || answersStream();
        if (mPhase == Phase.FINISHED || streaming) {
            return;
        }
        if (mPhase == Phase.ANSWERING) {
            cancelAll();
            abort("the deadline has passed");
            return;
        }
        cancelAll();
        refuse(Refusal.DEADLINE, "the deadline has passed");
    }

    private boolean answersStream() {
        return mPhase == Phase.ANSWERING && mLive.values().stream().anyMatch(PlanAttempt::stream);
    }

    private void callerGone() {
        if (mPhase == Phase.FINISHED) {
            return;
        }
        cancelAll();
        releaseIfNotRun();
        mPhase = Phase.FINISHED;
    }

    /** Cancels the open attempts; each of them may have run. */
    private void cancelAll() {
        long now = mClock.monotonicNanos();
        for (PlanAttempt attempt : List.copyOf(mLive.values())) {
            boolean silent =
                    !attempt.anyFrame() && now - attempt.sentNanos() > FAILED_SILENCE_NANOS;
            mActions.add(new PlanAction.Cancel(attempt.number()));
            endAttempt(attempt, silent ? AttemptResult.FAILED : AttemptResult.CANCELLED);
            mMayHaveRun = true;
        }
    }

    private void refuse(Refusal kind, String reason) {
        releaseIfNotRun();
        mPhase = Phase.FINISHED;
        RequestOutcome outcome =
                mMayHaveRun
                        ? new RequestOutcome.Unknown(reason)
                        : new RequestOutcome.NotRun(reason);
        mActions.add(new PlanAction.Refuse(kind, outcome));
    }

    private void releaseIfNotRun() {
        if (mClaimHeld && !mMayHaveRun) {
            mActions.add(new PlanAction.ReleaseClaim());
        }
    }

    private void abort(String reason) {
        mPhase = Phase.FINISHED;
        mActions.add(new PlanAction.AbortAnswer(reason));
    }

    private void endAttempt(PlanAttempt attempt, AttemptResult result) {
        mLive.remove(attempt.number());
        if (attempt.stream()) {
            mLastStreamUpstream = attempt.upstream();
        }
        if (!attempt.replay()) {
            mPool.ended(attempt.upstream(), result);
        }
    }

    private long remainingNanos() {
        return mRules.deadlineNanos() - mClock.monotonicNanos();
    }
}
