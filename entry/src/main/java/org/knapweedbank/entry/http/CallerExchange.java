package org.knapweedbank.entry.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.entry.ClaimService;
import org.knapweedbank.entry.upstream.AgentCall;
import org.knapweedbank.entry.upstream.AgentConnection;
import org.knapweedbank.entry.upstream.AttemptListener;
import org.knapweedbank.entry.upstream.RoutingState;
import org.knapweedbank.model.RequestOutcome;
import org.knapweedbank.routing.PlanAction;
import org.knapweedbank.routing.PlanEvent;
import org.knapweedbank.routing.Refusal;
import org.knapweedbank.routing.RequestPlan;
import org.knapweedbank.routing.RequestRules;
import org.knapweedbank.store.claim.Claim;
import org.knapweedbank.store.claim.ClaimRequest;
import org.knapweedbank.store.claim.ClaimResult;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.AnswerQuery;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.Request;
import org.knapweedbank.wire.ResponseHead;

/**
 * Executes one admitted request: passes events to its {@link RequestPlan}, which makes all
 * decisions, and executes the actions that the plan returns. Used on the routing event loop only.
 */
final class CallerExchange {
    private static final Logger LOG = LogManager.getLogger(CallerExchange.class);

    /** Longest wait for the release of a claim before the caller receives the outcome "not run". */
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Time after which the response is aborted if the caller keeps an agent's connection paused.
     */
    private static final long SLOW_CALLER_TIMEOUT_MILLIS = 2_000;

    /** Value of the Retry-After header in responses with status 503. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** Deadline of an attempt that resumes an event stream. */
    private static final long RESUME_DEADLINE_MILLIS = 5_000;

    private final Dependencies mDependencies;
    private final CallerRequest mRequest;
    private final byte[] mBody;
    private final RequestRules mRules;
    private final ResponseWriter mWriter;
    private final String mAttemptId;
    private final RequestPlan mPlan;
    private final EventStreamSplitter mSplitter;
    private final long mStartNanos;
    private final Context mRoutingLoop;
    private final Deque<PlanEvent> mPendingEvents = new ArrayDeque<>();
    private final Map<Integer, AgentCall> mOpenCalls = new HashMap<>();
    private final Map<Integer, ResponseHead> mResponseHeads = new HashMap<>();
    private Claim mClaim;
    private Uni<Boolean> mClaimRelease;
    private boolean mProcessing;
    private boolean mEnded;
    private long mDeadlineTimer = -1;
    private long mHedgeTimer = -1;
    private long mResumeTimer = -1;
    private long mSlowCallerTimer = -1;
    private int mForwardedAttempt;
    private Runnable mOnEnd = () -> {};

    /**
     * Dependencies shared by all requests of an entry.
     *
     * @param vertx Vert.x instance that provides the event loops
     * @param clock monotonic clock
     * @param routing routing state
     * @param claimService service for claims of idempotency keys
     * @param metrics metrics of the requests
     */
    record Dependencies(
            Vertx vertx,
            Clock clock,
            RoutingState routing,
            ClaimService claimService,
            CallerMetrics metrics) {}

    CallerExchange(
            Dependencies dependencies,
            CallerRequest request,
            byte[] body,
            RequestRules rules,
            ResponseWriter writer,
            String attemptId) {
        mDependencies = dependencies;
        mRequest = request;
        mBody = body;
        mRules = rules;
        mWriter = writer;
        mAttemptId = attemptId;
        mPlan = dependencies.routing().service(request.service()).newPlan(rules);
        mSplitter = new EventStreamSplitter(request.lastEventId());
        mStartNanos = dependencies.clock().monotonicNanos();
        mRoutingLoop = dependencies.vertx().getOrCreateContext();
    }

    /** Starts the deadline timer and the first attempt. */
    void start() {
        mDeadlineTimer =
                startTimer(
                        Duration.ofNanos(mRules.deadlineNanos() - mStartNanos),
                        new PlanEvent.DeadlinePassed());
        process(new PlanEvent.Start());
    }

    /** Called when the caller has closed its connection. */
    void onCallerDisconnected() {
        if (!mEnded) {
            mDependencies.metrics().recordCallerDisconnect();
            process(new PlanEvent.CallerDisconnected());
        }
    }

    /** Tells whether an event stream is being forwarded to the caller. */
    boolean isStreaming() {
        return !mEnded && mForwardedAttempt > 0 && mResponseHeads.get(mForwardedAttempt).stream();
    }

    /**
     * Ends an event stream at an event boundary, so that the caller resumes it at another entry
     * with its last event id. Does nothing for other responses.
     */
    void endStream() {
        if (isStreaming()) {
            process(new PlanEvent.CallerDisconnected());
            mWriter.end();
        }
    }

    /** Passes an event to the plan and executes the resulting actions. */
    private void process(PlanEvent event) {
        mPendingEvents.add(event);
        if (mProcessing) {
            // Raised by an action that is being executed; handled after the remaining actions.
            return;
        }
        mProcessing = true;
        try {
            while (!mPendingEvents.isEmpty()) {
                List<PlanAction> actions = mPlan.handle(mPendingEvents.poll());
                for (PlanAction action : actions) {
                    execute(action, actions);
                }
            }
        } finally {
            mProcessing = false;
        }
        if (mPlan.finished()) {
            finish();
        }
    }

    private void execute(PlanAction action, List<PlanAction> batch) {
        switch (action) {
            case PlanAction.Claim claim -> claimKey(claim);
            case PlanAction.ReleaseClaim release -> releaseClaim();
            case PlanAction.Send send -> sendAttempt(send);
            case PlanAction.Replay replay -> queryRecordedResponse(replay);
            case PlanAction.Cancel cancel -> cancelAttempt(cancel.attempt());
            case PlanAction.SetHedgeTimer set ->
                    mHedgeTimer = startTimer(set.delay(), new PlanEvent.HedgeDue());
            case PlanAction.SetResumeTimer set -> {
                mDependencies.vertx().cancelTimer(mResumeTimer);
                mResumeTimer = startTimer(set.delay(), new PlanEvent.ResumeDue());
            }
            case PlanAction.ForwardHead head -> forwardHead(head.attempt(), batch);
            case PlanAction.ForwardBody body -> forwardBody(body);
            case PlanAction.EndAnswer end -> endResponse();
            case PlanAction.AbortAnswer abort -> abort(abort.reason());
            case PlanAction.Refuse refuse -> reject(refuse);
        }
    }

    private void claimKey(PlanAction.Claim claim) {
        ClaimRequest request =
                new ClaimRequest(
                        mRequest.service(), mRequest.idempotencyKey(), mAttemptId, claim.agent());
        mDependencies
                .claimService()
                .claim(request)
                .subscribe()
                .with(
                        result -> mRoutingLoop.runOnContext(ignored -> onClaimResult(result)),
                        failure ->
                                mRoutingLoop.runOnContext(
                                        ignored ->
                                                process(
                                                        new PlanEvent.ClaimUnknown(
                                                                "the claim failed"))));
    }

    private void onClaimResult(ClaimResult result) {
        PlanEvent event =
                switch (result) {
                    case ClaimResult.Granted granted -> {
                        mClaim = granted.claim();
                        yield new PlanEvent.ClaimGranted();
                    }
                    case ClaimResult.AlreadyClaimed claimed ->
                            new PlanEvent.ClaimHeld(claimed.agent(), claimed.attemptId());
                    case ClaimResult.Unavailable unavailable ->
                            new PlanEvent.ClaimUnavailable(unavailable.reason());
                    case ClaimResult.Unknown unknown -> {
                        mClaim = unknown.claim();
                        yield new PlanEvent.ClaimUnknown(unknown.reason());
                    }
                };
        process(event);
    }

    private void releaseClaim() {
        if (mClaim == null) {
            return;
        }
        mClaimRelease =
                mDependencies
                        .claimService()
                        .release(mClaim)
                        .ifNoItem()
                        .after(RELEASE_TIMEOUT)
                        .recoverWithItem(false)
                        .onFailure()
                        .recoverWithItem(false)
                        .memoize()
                        .indefinitely();
        mClaimRelease
                .subscribe()
                .with(
                        released -> {
                            if (!released) {
                                LOG.warn(
                                        "[entry] claim of request {} not released; retries with its"
                                                + " key get outcome unknown",
                                        mRequest.correlationId());
                            }
                        });
    }

    private void sendAttempt(PlanAction.Send send) {
        int attempt = send.attempt();
        mDependencies.metrics().recordAttempt(attempt);
        mSplitter.discardIncompleteEvent();
        Optional<AgentCall> call =
                mDependencies
                        .routing()
                        .send(
                                mRequest.service(),
                                send.upstream(),
                                attempt,
                                new AttemptHandler(attempt),
                                id -> newRequest(id, attempt, send.resume()));
        call.ifPresent(agentCall -> mOpenCalls.put(attempt, agentCall));
    }

    private void queryRecordedResponse(PlanAction.Replay replay) {
        int attempt = replay.attempt();
        long remainingNanos = mRules.deadlineNanos() - mDependencies.clock().monotonicNanos();
        mDependencies
                .routing()
                .queryRecordedResponse(
                        mRequest.service(),
                        replay.agent(),
                        attempt,
                        new AttemptHandler(attempt),
                        id ->
                                new AnswerQuery(
                                        id,
                                        replay.attemptId(),
                                        mRequest.service(),
                                        mRequest.idempotencyKey(),
                                        Math.max(1, remainingNanos / 1_000_000)))
                .ifPresent(agentCall -> mOpenCalls.put(attempt, agentCall));
    }

    private Request newRequest(long id, int attempt, boolean resume) {
        long remainingNanos = mRules.deadlineNanos() - mDependencies.clock().monotonicNanos();
        long deadlineMillis =
                resume ? RESUME_DEADLINE_MILLIS : Math.max(1, remainingNanos / 1_000_000);
        // A claimed key is bound to one attempt id; other attempts are distinguished by number.
        String attemptId = mRules.keyed() ? mAttemptId : mAttemptId + "-" + attempt;
        return new Request(
                id,
                attemptId,
                mRules.keyed() ? mRequest.idempotencyKey() : "",
                mRules.idempotent(),
                mRequest.service(),
                mRequest.method(),
                mRequest.path(),
                resume ? resumeHeaders() : mRequest.headers(),
                mBody,
                deadlineMillis,
                mRules.stream(),
                mRequest.correlationId());
    }

    /** Returns the request's headers with the id of the last forwarded event. */
    private List<HeaderField> resumeHeaders() {
        List<HeaderField> headers = new ArrayList<>(mRequest.headers());
        headers.removeIf(
                field -> field.name().equalsIgnoreCase(CallerRequestParser.LAST_EVENT_ID_HEADER));
        if (!mSplitter.lastEventId().isEmpty()) {
            headers.add(
                    new HeaderField(
                            CallerRequestParser.LAST_EVENT_ID_HEADER, mSplitter.lastEventId()));
        }
        return headers;
    }

    private void cancelAttempt(int attempt) {
        AgentCall call = mOpenCalls.remove(attempt);
        if (call != null) {
            call.connection().cancel(call);
        }
    }

    /**
     * Forwards status and headers. If the same actions complete the response, its length is known.
     */
    private void forwardHead(int attempt, List<PlanAction> batch) {
        mForwardedAttempt = attempt;
        long length = ResponseWriter.UNKNOWN_LENGTH;
        if (batch.getLast() instanceof PlanAction.EndAnswer
                && !mResponseHeads.get(attempt).stream()) {
            length = 0;
            for (PlanAction action : batch) {
                length += action instanceof PlanAction.ForwardBody body ? body.bytes().length : 0;
            }
        }
        mWriter.writeHead(mResponseHeads.get(attempt), length);
    }

    private void forwardBody(PlanAction.ForwardBody body) {
        AgentConnection connection =
                mOpenCalls.containsKey(body.attempt())
                        ? mOpenCalls.get(body.attempt()).connection()
                        : null;
        byte[] bytes = body.bytes();
        if (mResponseHeads.get(mForwardedAttempt).stream()) {
            bytes = mSplitter.append(bytes);
        }
        if (bytes == null) {
            abort("an event of the stream exceeds 1 MiB");
            process(new PlanEvent.CallerDisconnected());
            return;
        }
        mWriter.writeBody(bytes, connection);
        if (mWriter.isAgentPaused() && mSlowCallerTimer < 0) {
            mSlowCallerTimer =
                    mDependencies
                            .vertx()
                            .setTimer(SLOW_CALLER_TIMEOUT_MILLIS, ignored -> checkSlowCaller());
        }
    }

    private void checkSlowCaller() {
        mSlowCallerTimer = -1;
        if (!mEnded && mWriter.isAgentPaused()) {
            LOG.info(
                    "[entry] aborting request {}: the caller reads too slowly",
                    mRequest.correlationId());
            abort("the caller reads too slowly");
            process(new PlanEvent.CallerDisconnected());
        }
    }

    private void endResponse() {
        if (mResponseHeads.get(mForwardedAttempt).stream()) {
            mWriter.writeBody(mSplitter.takeRemainder(), null);
        }
        mDependencies
                .metrics()
                .recordResponse(mDependencies.clock().monotonicNanos() - mStartNanos);
        mWriter.end();
    }

    private void abort(String reason) {
        LOG.info("[entry] response of request {} aborted: {}", mRequest.correlationId(), reason);
        mDependencies.metrics().recordAbort();
        mWriter.abort();
    }

    /** Responds with a problem document, after a pending release of the claim. */
    private void reject(PlanAction.Refuse refuse) {
        mDependencies.metrics().recordOutcome(refuse.outcome());
        Problem problem = toProblem(refuse.kind(), refuse.outcome());
        if (mClaimRelease == null) {
            mWriter.writeProblem(problem);
        } else {
            // The caller may retry with the same key at once, so the release must be stored first.
            mClaimRelease
                    .subscribe()
                    .with(ignored -> mRoutingLoop.runOnContext(v -> mWriter.writeProblem(problem)));
        }
    }

    private static Problem toProblem(Refusal kind, RequestOutcome outcome) {
        String type = kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        String title =
                switch (kind) {
                    case NO_UPSTREAM -> "No upstream available";
                    case BUSY -> "Upstreams are busy";
                    case DEADLINE -> "Deadline passed";
                    case STORE_UNAVAILABLE -> "Idempotency key cannot be claimed";
                    case KEY_USED -> "Idempotency key has been used";
                    case UPSTREAM_FAILED -> "Upstream failed";
                };
        Duration retryAfter = kind.status() == 503 ? RETRY_AFTER : Duration.ZERO;
        return new Problem(kind.status(), type, title, outcome, retryAfter);
    }

    /** Starts a timer with the delay rounded up to milliseconds; returns its id. */
    private long startTimer(Duration delay, PlanEvent event) {
        long millis = Math.max(1, delay.plusNanos(999_999).toMillis());
        return mDependencies.vertx().setTimer(millis, ignored -> process(event));
    }

    /** Cancels the timers and releases the request's calls and admission. */
    private void finish() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        for (long timer :
                new long[] {mDeadlineTimer, mHedgeTimer, mResumeTimer, mSlowCallerTimer}) {
            mDependencies.vertx().cancelTimer(timer);
        }
        mOpenCalls.values().forEach(call -> call.connection().removeCompleted(call));
        mOpenCalls.clear();
        mDependencies.routing().releaseAdmission(mRequest.service());
        mOnEnd.run();
    }

    /** Sets the action that runs once when the request has ended. */
    void setOnEnd(Runnable action) {
        mOnEnd = action;
    }

    /** Passes the response frames and failures of one attempt to the plan. */
    private final class AttemptHandler implements AttemptListener {
        private final int mAttempt;

        AttemptHandler(int attempt) {
            mAttempt = attempt;
        }

        @Override
        public void onHead(ResponseHead head) {
            mResponseHeads.putIfAbsent(mAttempt, head);
            process(new PlanEvent.Head(mAttempt, head.status(), head.stream()));
        }

        @Override
        public void onEvent(PlanEvent event) {
            process(event);
        }
    }
}
