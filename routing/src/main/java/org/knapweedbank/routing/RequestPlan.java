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
 * Decides how one request is processed: claiming its idempotency key, sending, retrying, hedging
 * and resuming attempts, and the final outcome. Performs no I/O and is not thread-safe: the entry
 * passes in the events and performs the returned actions in order.
 *
 * <p>A request that is not idempotent is written to a connection at most once, except after {@link
 * PlanEvent.NotSent}. The outcome "not run" is reported only if all attempts are known not to have
 * run. An answer is ended as complete only if all its chunks have arrived. A claim is released only
 * if the request is known not to have run. Events of attempts that have ended are ignored.
 */
public final class RequestPlan {
    /** Maximum number of attempts for a request, not counting those that resume a stream. */
    private static final int MAX_ATTEMPTS = 3;

    /**
     * Number of body bytes above which the answer is committed, that is, forwarded to the caller.
     * Until then the request can still be retried or refused with a status.
     */
    private static final int COMMIT_THRESHOLD_BYTES = 64 * 1024;

    /** Number of resume attempts without progress after which a stream is aborted. */
    private static final int MAX_RESUMES_WITHOUT_PROGRESS = 50;

    /** Delay before each resume attempt after the first one. */
    private static final Duration RESUME_DELAY = Duration.ofMillis(200);

    /** Time within which an upstream must begin its answer to a resume attempt. */
    private static final Duration RESUME_ATTEMPT_TIMEOUT = Duration.ofSeconds(5);

    /**
     * Time without an answer above which an attempt that is still open at the deadline counts as a
     * failure of the upstream. A shorter deadline was chosen by the caller and does not indicate a
     * failure.
     */
    private static final long MIN_FAILURE_SILENCE_NANOS = Duration.ofSeconds(1).toNanos();

    private static final int MIN_ERROR_STATUS = 500;
    private static final int STATUS_OK = 200;

    private enum Phase {
        NEW,
        CLAIMING,
        SENDING,
        /** The answer of one attempt has been committed and is being forwarded to the caller. */
        ANSWERING,
        /** An event stream was interrupted and is to be resumed at another upstream. */
        RESUMING,
        FINISHED
    }

    private final RequestRules mRules;
    private final UpstreamPool mPool;
    private final RetryBudget mRetryBudget;
    private final HedgePolicy mHedgePolicy;
    private final Clock mClock;
    private final Map<Integer, PlanAttempt> mOpenAttempts = new LinkedHashMap<>();
    private final Set<UpstreamId> mTriedUpstreams = new HashSet<>();
    private Phase mPhase = Phase.NEW;
    private int mAttemptCount;

    /** Number of resume attempts since the last chunk was forwarded. */
    private int mResumeCount;

    /** True if some attempt may have run, so that the outcome cannot be "not run". */
    private boolean mMayHaveRun;

    private boolean mClaimHeld;

    /** Upstream whose agent was named in the claim and which gets the first attempt. */
    private UpstreamId mClaimedFor;

    private UpstreamId mLastStreamUpstream;

    /** Reason of the refusal if no further attempt is made. */
    private Refusal mLastRefusal = Refusal.NO_UPSTREAM;

    private long mStartNanos;

    /** Actions to return for the event that is being handled. */
    private List<PlanAction> mPendingActions = new ArrayList<>();

    /**
     * Creates the plan of one request.
     *
     * @param rules properties of the request
     * @param pool upstreams of the requested service
     * @param retryBudget retry budget of the service
     * @param hedgePolicy hedge policy of the service
     * @param clock source of time
     */
    public RequestPlan(
            RequestRules rules,
            UpstreamPool pool,
            RetryBudget retryBudget,
            HedgePolicy hedgePolicy,
            Clock clock) {
        mRules = rules;
        mPool = pool;
        mRetryBudget = retryBudget;
        mHedgePolicy = hedgePolicy;
        mClock = clock;
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @return actions to perform in order, possibly none
     */
    public List<PlanAction> handle(PlanEvent event) {
        mPendingActions = new ArrayList<>();
        switch (event) {
            case PlanEvent.Start start -> handleStart();
            case PlanEvent.ClaimGranted granted -> handleClaimGranted();
            case PlanEvent.ClaimHeld held -> handleClaimHeld(held);
            case PlanEvent.ClaimUnavailable refused -> handleClaimFailed(refused.reason(), false);
            case PlanEvent.ClaimUnknown unknown -> handleClaimFailed(unknown.reason(), true);
            case PlanEvent.NotSent notSent -> handleNotSent(notSent);
            case PlanEvent.ConnectionLost lost ->
                    failAttempt(mOpenAttempts.get(lost.attempt()), lost.reason(), false);
            case PlanEvent.Head head -> handleHead(head);
            case PlanEvent.Chunk chunk -> handleChunk(chunk);
            case PlanEvent.End end -> handleEnd(end);
            case PlanEvent.NotRun notRun -> handleNotRun(notRun);
            case PlanEvent.OutcomeUnknown unknown ->
                    failAttempt(mOpenAttempts.get(unknown.attempt()), unknown.reason(), false);
            case PlanEvent.StreamMoved moved -> handleStreamMoved(moved);
            case PlanEvent.HedgeDue due -> hedge();
            case PlanEvent.ResumeDue due -> resume();
            case PlanEvent.DeadlinePassed passed -> handleDeadlinePassed();
            case PlanEvent.CallerDisconnected gone -> handleCallerDisconnected();
        }
        return mPendingActions;
    }

    /**
     * Returns whether the request has ended. If its claim is granted afterwards, the claim is still
     * released.
     *
     * @return true after the last action for the caller
     */
    public boolean finished() {
        return mPhase == Phase.FINISHED;
    }

    private void handleStart() {
        if (mPhase != Phase.NEW) {
            return;
        }
        mStartNanos = mClock.monotonicNanos();
        mRetryBudget.recordRequest();
        mHedgePolicy.recordRequest();
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
        mPendingActions.add(new PlanAction.Claim(mClaimedFor.agent().value()));
    }

    private void handleClaimGranted() {
        if (mPhase == Phase.CLAIMING) {
            mClaimHeld = true;
            mPhase = Phase.SENDING;
            sendFirst();
        } else if (mPhase == Phase.FINISHED && mAttemptCount == 0 && !mClaimHeld) {
            // The request ended before its claim was granted; no attempt has been sent.
            mPendingActions.add(new PlanAction.ReleaseClaim());
        }
    }

    private void handleClaimHeld(PlanEvent.ClaimHeld held) {
        if (mPhase != Phase.CLAIMING) {
            return;
        }
        mPhase = Phase.SENDING;
        mMayHaveRun = true;
        if (held.agent().isEmpty()) {
            refuse(Refusal.KEY_USED, "the key has been used before");
            return;
        }
        PlanAttempt attempt =
                new PlanAttempt(++mAttemptCount, null, false, mClock.monotonicNanos());
        mOpenAttempts.put(attempt.number(), attempt);
        mPendingActions.add(
                new PlanAction.Replay(attempt.number(), held.agent(), held.attemptId()));
    }

    private void handleClaimFailed(String reason, boolean keyMayBeClaimed) {
        if (keyMayBeClaimed && mAttemptCount == 0) {
            mPendingActions.add(new PlanAction.ReleaseClaim());
        }
        if (mPhase == Phase.CLAIMING) {
            refuse(Refusal.STORE_UNAVAILABLE, reason);
        }
    }

    private void sendFirst() {
        if (mClaimedFor != null && mPool.isAvailable(mClaimedFor)) {
            send(mClaimedFor, false);
        } else {
            sendNext("no upstream can take the request");
        }
    }

    private void sendNext(String reason) {
        Optional<UpstreamId> upstream = mPool.select(mTriedUpstreams);
        if (upstream.isPresent()) {
            send(upstream.get(), false);
        } else {
            refuse(mLastRefusal, reason);
        }
    }

    private void send(UpstreamId upstream, boolean resume) {
        PlanAttempt attempt =
                new PlanAttempt(++mAttemptCount, upstream, resume, mClock.monotonicNanos());
        mOpenAttempts.put(attempt.number(), attempt);
        mTriedUpstreams.add(upstream);
        mPool.recordSent(upstream);
        mPendingActions.add(new PlanAction.Send(attempt.number(), upstream, resume));
        if (mAttemptCount == 1 && mRules.idempotent() && !mRules.stream()) {
            mHedgePolicy
                    .delay()
                    .ifPresent(delay -> mPendingActions.add(new PlanAction.SetHedgeTimer(delay)));
        }
    }

    private void hedge() {
        boolean awaitingFirstAttempt =
                mPhase == Phase.SENDING && mOpenAttempts.size() == 1 && mAttemptCount == 1;
        if (!awaitingFirstAttempt || mRules.stream() || !mRules.idempotent()) {
            return;
        }
        Optional<UpstreamId> upstream = mPool.select(mTriedUpstreams);
        if (upstream.isPresent() && mHedgePolicy.tryWithdraw()) {
            send(upstream.get(), false);
        }
    }

    private void handleNotSent(PlanEvent.NotSent event) {
        PlanAttempt attempt = mOpenAttempts.get(event.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.anyFrameReceived()) {
            failAttempt(attempt, event.reason(), true);
            return;
        }
        endAttempt(attempt, AttemptResult.FAILED);
        mLastRefusal = Refusal.NO_UPSTREAM;
        retryOrRefuse(attempt, event.reason(), !attempt.isReplay());
    }

    private void handleNotRun(PlanEvent.NotRun event) {
        PlanAttempt attempt = mOpenAttempts.get(event.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.anyFrameReceived()) {
            // The answer has already begun, so the message does not prove that the attempt has not
            // run.
            failAttempt(attempt, event.reason(), false);
            return;
        }
        endAttempt(attempt, event.failure() ? AttemptResult.FAILED : AttemptResult.REFUSED);
        mLastRefusal = event.failure() ? Refusal.NO_UPSTREAM : Refusal.BUSY;
        retryOrRefuse(attempt, event.reason(), mRules.idempotent());
    }

    /** Ends an attempt that may have run. */
    private void failAttempt(PlanAttempt attempt, String reason, boolean cancel) {
        if (attempt == null) {
            return;
        }
        if (cancel) {
            mPendingActions.add(new PlanAction.Cancel(attempt.number()));
        }
        endAttempt(attempt, AttemptResult.FAILED);
        mMayHaveRun = true;
        mLastRefusal = Refusal.UPSTREAM_FAILED;
        retryOrRefuse(attempt, reason, mRules.idempotent());
    }

    private void retryOrRefuse(PlanAttempt attempt, String reason, boolean mayRetry) {
        if (mPhase == Phase.ANSWERING) {
            resumeOrAbort(attempt, reason);
        } else if (!mOpenAttempts.isEmpty()) {
            return;
        } else if (attempt.isReplay()) {
            refuse(Refusal.KEY_USED, "the key has been used and its answer is not available");
        } else if (attempt.resumesStream()) {
            resumeLater(reason);
        } else if (mayRetry
                && mAttemptCount < MAX_ATTEMPTS
                && remainingNanos() > 0
                && mRetryBudget.tryWithdraw()) {
            sendNext(reason);
        } else {
            refuse(mLastRefusal, reason);
        }
    }

    private void resumeOrAbort(PlanAttempt attempt, String reason) {
        if (attempt.isStream() && mRules.idempotent()) {
            resumeLater(reason);
        } else {
            abort(reason);
        }
    }

    private void resumeLater(String reason) {
        mPhase = Phase.RESUMING;
        mResumeCount++;
        if (mResumeCount > MAX_RESUMES_WITHOUT_PROGRESS) {
            abort(reason);
        } else if (mResumeCount == 1) {
            resume();
        } else {
            mPendingActions.add(new PlanAction.SetResumeTimer(RESUME_DELAY));
        }
    }

    private void resume() {
        if (mPhase != Phase.RESUMING) {
            return;
        }
        if (!mOpenAttempts.isEmpty()) {
            failAttempt(
                    mOpenAttempts.values().iterator().next(),
                    "the upstream did not resume the stream in time",
                    true);
            return;
        }
        // The first resume avoids the upstream that moved or interrupted the stream; later resumes
        // may use it, because it may have recovered.
        Optional<UpstreamId> upstream =
                mPool.select(mResumeCount == 1 ? lastStreamUpstream() : Set.of());
        if (upstream.isPresent()) {
            send(upstream.get(), true);
            mPendingActions.add(new PlanAction.SetResumeTimer(RESUME_ATTEMPT_TIMEOUT));
        } else {
            resumeLater("no upstream is available to resume the stream");
        }
    }

    private Set<UpstreamId> lastStreamUpstream() {
        return mLastStreamUpstream == null ? Set.of() : Set.of(mLastStreamUpstream);
    }

    private void handleStreamMoved(PlanEvent.StreamMoved event) {
        PlanAttempt attempt = mOpenAttempts.get(event.attempt());
        if (attempt == null || !mRules.idempotent() || !mRules.stream()) {
            failAttempt(attempt, "the upstream moved a request that is not a stream", true);
            return;
        }
        mLastStreamUpstream = attempt.upstream();
        endAttempt(attempt, AttemptResult.REFUSED);
        if (mPhase == Phase.ANSWERING) {
            resumeLater("the upstream is leaving");
        } else {
            retryOrRefuse(attempt, "the upstream is leaving", true);
        }
    }

    private void handleHead(PlanEvent.Head event) {
        PlanAttempt attempt = mOpenAttempts.get(event.attempt());
        if (attempt == null) {
            return;
        }
        attempt.receiveHead(event.status(), event.stream());
        if (attempt.resumesStream() && !(event.stream() && event.status() == STATUS_OK)) {
            failAttempt(attempt, "the upstream did not resume the stream", true);
            return;
        }
        processAnswer(attempt);
    }

    private void handleChunk(PlanEvent.Chunk event) {
        PlanAttempt attempt = mOpenAttempts.get(event.attempt());
        if (attempt != null) {
            attempt.receiveChunk(event.index(), event.bytes());
            processAnswer(attempt);
        }
    }

    private void handleEnd(PlanEvent.End event) {
        PlanAttempt attempt = mOpenAttempts.get(event.attempt());
        if (attempt != null) {
            attempt.receiveEnd(event.chunks(), event.bytes());
            processAnswer(attempt);
        }
    }

    /**
     * Commits and forwards the received part of an answer, and ends the answer when it is complete.
     */
    private void processAnswer(PlanAttempt attempt) {
        if (attempt.assembler().isCorrupt()) {
            failAttempt(attempt, "the answer of the upstream is truncated", true);
            return;
        }
        if (!attempt.hasHead()) {
            return;
        }
        boolean complete = attempt.assembler().isComplete();
        boolean commit =
                complete || attempt.isStream() || attempt.bufferedBytes() > COMMIT_THRESHOLD_BYTES;
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
        for (PlanAttempt other : List.copyOf(mOpenAttempts.values())) {
            if (other != winner) {
                mPendingActions.add(new PlanAction.Cancel(other.number()));
                endAttempt(other, AttemptResult.CANCELLED);
            }
        }
        mPhase = Phase.ANSWERING;
        if (!winner.resumesStream()) {
            mPendingActions.add(new PlanAction.ForwardHead(winner.number()));
        }
    }

    private void forward(PlanAttempt attempt) {
        for (byte[] chunk : attempt.takeBufferedChunks()) {
            mResumeCount = 0;
            mPendingActions.add(new PlanAction.ForwardBody(attempt.number(), chunk));
        }
    }

    private void complete(PlanAttempt attempt) {
        boolean isError = attempt.status() >= MIN_ERROR_STATUS;
        endAttempt(attempt, isError ? AttemptResult.ERROR_ANSWER : AttemptResult.ANSWERED);
        if (!attempt.isStream()) {
            mHedgePolicy.recordLatency(mClock.monotonicNanos() - mStartNanos);
        }
        mPhase = Phase.FINISHED;
        mPendingActions.add(new PlanAction.EndAnswer());
    }

    private void handleDeadlinePassed() {
        boolean streaming = mPhase == Phase.RESUMING || streamsAnswer();
        if (mPhase == Phase.FINISHED || streaming) {
            return;
        }
        if (mPhase == Phase.ANSWERING) {
            cancelOpenAttempts();
            abort("the deadline has passed");
            return;
        }
        cancelOpenAttempts();
        refuse(Refusal.DEADLINE, "the deadline has passed");
    }

    private boolean streamsAnswer() {
        return mPhase == Phase.ANSWERING
                && mOpenAttempts.values().stream().anyMatch(PlanAttempt::isStream);
    }

    private void handleCallerDisconnected() {
        if (mPhase == Phase.FINISHED) {
            return;
        }
        cancelOpenAttempts();
        releaseIfNotRun();
        mPhase = Phase.FINISHED;
    }

    /** Cancels all open attempts; each of them may have run. */
    private void cancelOpenAttempts() {
        long now = mClock.monotonicNanos();
        for (PlanAttempt attempt : List.copyOf(mOpenAttempts.values())) {
            boolean silent =
                    !attempt.anyFrameReceived()
                            && now - attempt.sentNanos() > MIN_FAILURE_SILENCE_NANOS;
            mPendingActions.add(new PlanAction.Cancel(attempt.number()));
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
        mPendingActions.add(new PlanAction.Refuse(kind, outcome));
    }

    private void releaseIfNotRun() {
        if (mClaimHeld && !mMayHaveRun) {
            mPendingActions.add(new PlanAction.ReleaseClaim());
        }
    }

    private void abort(String reason) {
        mPhase = Phase.FINISHED;
        mPendingActions.add(new PlanAction.AbortAnswer(reason));
    }

    private void endAttempt(PlanAttempt attempt, AttemptResult result) {
        mOpenAttempts.remove(attempt.number());
        if (attempt.isStream()) {
            mLastStreamUpstream = attempt.upstream();
        }
        if (!attempt.isReplay()) {
            mPool.recordEnded(attempt.upstream(), result);
        }
    }

    private long remainingNanos() {
        return mRules.deadlineNanos() - mClock.monotonicNanos();
    }
}
