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
 * Carries out the plan of one admitted request: reports events to it and executes its actions. All
 * decisions are those of {@link RequestPlan}. Used on the routing event loop only.
 */
final class CallerExchange {
    private static final Logger LOG = LogManager.getLogger(CallerExchange.class);

    /** Longest wait for the release of a claim before the caller is told "not run". */
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

    /** Time in which a slow caller has to catch up while an agent's connection waits for it. */
    private static final long SLOW_CALLER_MILLIS = 2_000;

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final long RESUME_DEADLINE_MILLIS = 5_000;

    private final Parts mParts;
    private final CallerRequest mRequest;
    private final byte[] mBody;
    private final RequestRules mRules;
    private final AnswerWriter mWriter;
    private final String mAttemptId;
    private final RequestPlan mPlan;
    private final EventStreamSplitter mSplitter;
    private final long mStartNanos;
    private final Context mContext;
    private final Deque<PlanEvent> mEvents = new ArrayDeque<>();
    private final Map<Integer, AgentCall> mCalls = new HashMap<>();
    private final Map<Integer, ResponseHead> mHeads = new HashMap<>();
    private Claim mClaim;
    private Uni<Boolean> mRelease;
    private boolean mApplying;
    private boolean mEnded;
    private long mDeadlineTimer = -1;
    private long mHedgeTimer = -1;
    private long mResumeTimer = -1;
    private long mSlowTimer = -1;
    private int mForwarding;
    private Runnable mOnEnd = () -> {};

    /**
     * What all requests of an entry share.
     *
     * @param vertx event loops
     * @param clock clock
     * @param routing routing state
     * @param claims claims of idempotency keys
     * @param metrics metrics
     */
    record Parts(
            Vertx vertx,
            Clock clock,
            RoutingState routing,
            ClaimService claims,
            CallerMetrics metrics) {}

    CallerExchange(
            Parts parts,
            CallerRequest request,
            byte[] body,
            RequestRules rules,
            AnswerWriter writer,
            String attemptId) {
        mParts = parts;
        mRequest = request;
        mBody = body;
        mRules = rules;
        mWriter = writer;
        mAttemptId = attemptId;
        mPlan = parts.routing().service(request.service()).newPlan(rules);
        mSplitter = new EventStreamSplitter(request.lastEventId());
        mStartNanos = parts.clock().monotonicNanos();
        mContext = parts.vertx().getOrCreateContext();
    }

    void start() {
        mDeadlineTimer =
                timer(
                        Duration.ofNanos(mRules.deadlineNanos() - mStartNanos),
                        new PlanEvent.DeadlinePassed());
        apply(new PlanEvent.Start());
    }

    /** The caller has closed its connection. */
    void callerGone() {
        if (!mEnded) {
            mParts.metrics().callerGone();
            apply(new PlanEvent.CallerGone());
        }
    }

    /** Tells whether the exchange answers with an event stream. */
    boolean streaming() {
        return !mEnded && mForwarding > 0 && mHeads.get(mForwarding).stream();
    }

    /**
     * Ends an event stream after a whole event, so that the caller continues at another entry with
     * its last event id.
     */
    void endStream() {
        if (streaming()) {
            apply(new PlanEvent.CallerGone());
            mWriter.end();
        }
    }

    private void apply(PlanEvent event) {
        mEvents.add(event);
        if (mApplying) {
            // Raised while an action is carried out; taken after the actions of that event.
            return;
        }
        mApplying = true;
        try {
            while (!mEvents.isEmpty()) {
                List<PlanAction> actions = mPlan.on(mEvents.poll());
                for (PlanAction action : actions) {
                    execute(action, actions);
                }
            }
        } finally {
            mApplying = false;
        }
        if (mPlan.finished()) {
            ended();
        }
    }

    private void execute(PlanAction action, List<PlanAction> all) {
        switch (action) {
            case PlanAction.Claim claim -> claim(claim);
            case PlanAction.ReleaseClaim release -> release();
            case PlanAction.Send send -> send(send);
            case PlanAction.Replay replay -> replay(replay);
            case PlanAction.Cancel cancel -> cancel(cancel.attempt());
            case PlanAction.SetHedgeTimer set ->
                    mHedgeTimer = timer(set.delay(), new PlanEvent.HedgeDue());
            case PlanAction.SetResumeTimer set -> {
                mParts.vertx().cancelTimer(mResumeTimer);
                mResumeTimer = timer(set.delay(), new PlanEvent.ResumeDue());
            }
            case PlanAction.ForwardHead head -> forwardHead(head.attempt(), all);
            case PlanAction.ForwardBody body -> forwardBody(body);
            case PlanAction.EndAnswer end -> endAnswer();
            case PlanAction.AbortAnswer abort -> abort(abort.reason());
            case PlanAction.Refuse refuse -> refuse(refuse);
        }
    }

    private void claim(PlanAction.Claim claim) {
        ClaimRequest request =
                new ClaimRequest(
                        mRequest.service(), mRequest.idempotencyKey(), mAttemptId, claim.agent());
        mParts.claims()
                .claim(request)
                .subscribe()
                .with(
                        result -> mContext.runOnContext(ignored -> claimed(result)),
                        failure ->
                                mContext.runOnContext(
                                        ignored ->
                                                apply(
                                                        new PlanEvent.ClaimUnknown(
                                                                "the claim failed"))));
    }

    private void claimed(ClaimResult result) {
        PlanEvent event =
                switch (result) {
                    case ClaimResult.Granted granted -> {
                        mClaim = granted.claim();
                        yield new PlanEvent.ClaimGranted();
                    }
                    case ClaimResult.AlreadyClaimed held ->
                            new PlanEvent.ClaimHeld(held.agent(), held.attemptId());
                    case ClaimResult.Unavailable refused ->
                            new PlanEvent.ClaimUnavailable(refused.reason());
                    case ClaimResult.Unknown unknown -> {
                        mClaim = unknown.claim();
                        yield new PlanEvent.ClaimUnknown(unknown.reason());
                    }
                };
        apply(event);
    }

    private void release() {
        if (mClaim == null) {
            return;
        }
        mRelease =
                mParts.claims()
                        .release(mClaim)
                        .ifNoItem()
                        .after(RELEASE_TIMEOUT)
                        .recoverWithItem(false)
                        .onFailure()
                        .recoverWithItem(false)
                        .memoize()
                        .indefinitely();
        mRelease.subscribe()
                .with(
                        released -> {
                            if (!released) {
                                LOG.warn(
                                        "[entry] claim of {} not released; repeats of its key are"
                                                + " answered as unknown",
                                        mRequest.correlationId());
                            }
                        });
    }

    private void send(PlanAction.Send send) {
        int attempt = send.attempt();
        mParts.metrics().sent(attempt);
        mSplitter.restart();
        Optional<AgentCall> call =
                mParts.routing()
                        .send(
                                mRequest.service(),
                                send.upstream(),
                                attempt,
                                new Frames(attempt),
                                id -> message(id, attempt, send.resume()));
        call.ifPresent(open -> mCalls.put(attempt, open));
    }

    private void replay(PlanAction.Replay replay) {
        int attempt = replay.attempt();
        long left = mRules.deadlineNanos() - mParts.clock().monotonicNanos();
        mParts.routing()
                .queryRecordedResponse(
                        mRequest.service(),
                        replay.agent(),
                        attempt,
                        new Frames(attempt),
                        id ->
                                new AnswerQuery(
                                        id,
                                        replay.attemptId(),
                                        mRequest.service(),
                                        mRequest.idempotencyKey(),
                                        Math.max(1, left / 1_000_000)))
                .ifPresent(open -> mCalls.put(attempt, open));
    }

    private Request message(long id, int attempt, boolean resume) {
        long left = mRules.deadlineNanos() - mParts.clock().monotonicNanos();
        long millis = resume ? RESUME_DEADLINE_MILLIS : Math.max(1, left / 1_000_000);
        // A claimed key belongs to one attempt id; other attempts are told apart by number.
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
                millis,
                mRules.stream(),
                mRequest.correlationId());
    }

    private List<HeaderField> resumeHeaders() {
        List<HeaderField> headers = new ArrayList<>(mRequest.headers());
        headers.removeIf(f -> f.name().equalsIgnoreCase(CallerRequestParser.LAST_EVENT_ID));
        if (!mSplitter.lastEventId().isEmpty()) {
            headers.add(
                    new HeaderField(CallerRequestParser.LAST_EVENT_ID, mSplitter.lastEventId()));
        }
        return headers;
    }

    private void cancel(int attempt) {
        AgentCall call = mCalls.remove(attempt);
        if (call != null) {
            call.connection().cancel(call);
        }
    }

    private void forwardHead(int attempt, List<PlanAction> all) {
        mForwarding = attempt;
        long length = AnswerWriter.UNKNOWN_LENGTH;
        if (all.getLast() instanceof PlanAction.EndAnswer && !mHeads.get(attempt).stream()) {
            length = 0;
            for (PlanAction action : all) {
                length += action instanceof PlanAction.ForwardBody body ? body.bytes().length : 0;
            }
        }
        mWriter.head(mHeads.get(attempt), length);
    }

    private void forwardBody(PlanAction.ForwardBody body) {
        AgentConnection source =
                mCalls.containsKey(body.attempt()) ? mCalls.get(body.attempt()).connection() : null;
        byte[] bytes = body.bytes();
        if (mHeads.get(mForwarding).stream()) {
            bytes = mSplitter.add(bytes);
        }
        if (bytes == null) {
            abort("an event of the stream exceeds 1 MiB");
            apply(new PlanEvent.CallerGone());
            return;
        }
        mWriter.body(bytes, source);
        if (mWriter.paused() && mSlowTimer < 0) {
            mSlowTimer = mParts.vertx().setTimer(SLOW_CALLER_MILLIS, ignored -> checkSlowCaller());
        }
    }

    private void checkSlowCaller() {
        mSlowTimer = -1;
        if (!mEnded && mWriter.paused()) {
            LOG.info("[entry] caller of {} reads too slowly", mRequest.correlationId());
            abort("the caller reads too slowly");
            apply(new PlanEvent.CallerGone());
        }
    }

    private void endAnswer() {
        if (mHeads.get(mForwarding).stream()) {
            mWriter.body(mSplitter.rest(), null);
        }
        mParts.metrics().answered(mParts.clock().monotonicNanos() - mStartNanos);
        mWriter.end();
    }

    private void abort(String reason) {
        LOG.info("[entry] answer of {} broken off: {}", mRequest.correlationId(), reason);
        mParts.metrics().aborted();
        mWriter.abort();
    }

    private void refuse(PlanAction.Refuse refuse) {
        mParts.metrics().refused(refuse.outcome());
        Problem problem = problem(refuse.kind(), refuse.outcome());
        if (mRelease == null) {
            mWriter.problem(problem);
        } else {
            // The caller may repeat the key at once, so the release has to be in the store first.
            mRelease.subscribe()
                    .with(ignored -> mContext.runOnContext(v -> mWriter.problem(problem)));
        }
    }

    private static Problem problem(Refusal kind, RequestOutcome outcome) {
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

    private long timer(Duration delay, PlanEvent event) {
        long millis = Math.max(1, delay.plusNanos(999_999).toMillis());
        return mParts.vertx().setTimer(millis, ignored -> apply(event));
    }

    private void ended() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        for (long timer : new long[] {mDeadlineTimer, mHedgeTimer, mResumeTimer, mSlowTimer}) {
            mParts.vertx().cancelTimer(timer);
        }
        mCalls.values().forEach(call -> call.connection().removeCompleted(call));
        mCalls.clear();
        mParts.routing().release(mRequest.service());
        mOnEnd.run();
    }

    /** Sets what runs once when the request has ended. */
    void onEnd(Runnable action) {
        mOnEnd = action;
    }

    /** Passes the frames of one attempt to the plan. */
    private final class Frames implements AttemptListener {
        private final int mAttempt;

        Frames(int attempt) {
            mAttempt = attempt;
        }

        @Override
        public void onHead(ResponseHead head) {
            mHeads.putIfAbsent(mAttempt, head);
            apply(new PlanEvent.Head(mAttempt, head.status(), head.stream()));
        }

        @Override
        public void onEvent(PlanEvent event) {
            apply(event);
        }
    }
}
