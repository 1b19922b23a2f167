package org.knapweedbank.faults.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.model.RequestOutcome;
import org.knapweedbank.routing.HedgePolicy;
import org.knapweedbank.routing.PlanAction;
import org.knapweedbank.routing.PlanEvent;
import org.knapweedbank.routing.RequestPlan;
import org.knapweedbank.routing.RequestRules;
import org.knapweedbank.routing.RetryBudget;
import org.knapweedbank.store.claim.Claim;
import org.knapweedbank.store.claim.ClaimRequest;
import org.knapweedbank.store.claim.ClaimResult;
import org.knapweedbank.wire.AnswerQuery;
import org.knapweedbank.wire.Cancel;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.Request;

/** Processes one submission at an entry by carrying out the actions of its request plan. */
final class SimExchange {
    private final RequestCellRun mCellRun;
    private final Simulation mSimulation;
    private final SimRequestEntry mEntry;
    private final Submission mSubmission;

    /** Attempt id, or the prefix of the attempt ids if the request has no idempotency key. */
    private final String mAttemptId;

    private final RequestRules mRules;
    private final RequestPlan mPlan;

    /** Events that arrived while another event was being applied. */
    private final Deque<PlanEvent> mPendingEvents = new ArrayDeque<>();

    /** Open attempts by number. */
    private final Map<Integer, OpenAttempt> mOpenAttempts = new HashMap<>();

    /** Body bytes forwarded to the caller. */
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

    /** Claim of the idempotency key, held or of unknown outcome; null if there is none. */
    private Claim mClaim;

    /** Whether an event is being applied; events that arrive meanwhile are queued. */
    private boolean mApplying;

    /**
     * An attempt that is open on a connection.
     *
     * @param attempt number of the attempt within its exchange
     * @param id call id on the connection
     */
    record OpenAttempt(SimExchange exchange, int attempt, SimConnection connection, long id) {}

    SimExchange(
            RequestCellRun cellRun,
            SimRequestEntry entry,
            Submission submission,
            String attemptId) {
        mCellRun = cellRun;
        mSimulation = cellRun.simulation();
        mEntry = entry;
        mSubmission = submission;
        mAttemptId = attemptId;
        RequestKind kind = submission.kind();
        boolean treatedAsIdempotent =
                kind == RequestKind.POST
                        && cellRun.mutant() == RequestMutant.NON_IDEMPOTENT_RETRIED;
        long deadlineNanos = entry.clock().monotonicNanos() + Duration.ofSeconds(4).toNanos();
        mRules =
                new RequestRules(
                        kind.isIdempotent() || treatedAsIdempotent,
                        kind == RequestKind.KEYED,
                        kind == RequestKind.STREAM,
                        deadlineNanos);
        RetryBudget retryBudget = new RetryBudget(0.1, 10);
        HedgePolicy hedgePolicy = new HedgePolicy(new RetryBudget(0.05, 10), 0.95);
        for (int i = 0; i < 64; i++) {
            hedgePolicy.recordLatency(Duration.ofMillis(150).toNanos());
        }
        mPlan = new RequestPlan(mRules, entry.pool(), retryBudget, hedgePolicy, entry.clock());
    }

    /** Starts the request and its deadline of 4 s. */
    void start() {
        mCellRun.reachStep(RequestStep.ACCEPTED, mSubmission);
        scheduleEvent(Duration.ofSeconds(4), new PlanEvent.DeadlinePassed());
        apply(new PlanEvent.Start());
    }

    /** Returns the submission that the exchange processes. */
    Submission submission() {
        return mSubmission;
    }

    /** Applies an event after a delay, unless the entry is killed before. */
    void scheduleEvent(Duration delay, PlanEvent event) {
        mSimulation.schedule(delay, () -> mEntry.process().execute(() -> apply(event)));
    }

    /** Passes an event to the plan and carries out the actions that follow. */
    void apply(PlanEvent event) {
        mPendingEvents.add(event);
        if (mApplying) {
            return;
        }
        mApplying = true;
        while (!mPendingEvents.isEmpty()) {
            for (PlanAction action : mPlan.handle(mPendingEvents.poll())) {
                execute(action);
            }
        }
        mApplying = false;
        if (mPlan.finished()) {
            mOpenAttempts
                    .values()
                    .forEach(
                            openAttempt ->
                                    openAttempt.connection().removeAttempt(openAttempt.id()));
            mOpenAttempts.clear();
        }
    }

    /** Carries out an action of the plan. */
    private void execute(PlanAction action) {
        switch (action) {
            case PlanAction.Claim claim -> requestClaim(claim.agent());
            case PlanAction.ReleaseClaim release -> releaseClaim(() -> {});
            case PlanAction.Send send -> {
                String agent = send.upstream().agent().value();
                mCellRun.reachStep(RequestStep.SENT, mSubmission);
                openAttempt(
                        send.attempt(),
                        agent,
                        id -> requestMessage(id, send.attempt(), send.resume()));
            }
            case PlanAction.Replay replay -> {
                mCellRun.reachStep(RequestStep.KEY_REPEATED, mSubmission);
                openAttempt(
                        replay.attempt(),
                        replay.agent(),
                        id -> answerQuery(id, replay.attemptId()));
            }
            case PlanAction.Cancel cancel -> {
                OpenAttempt openAttempt = mOpenAttempts.remove(cancel.attempt());
                if (openAttempt != null) {
                    openAttempt.connection().removeAttempt(openAttempt.id());
                    openAttempt.connection().sendToAgent(new Cancel(openAttempt.id()));
                }
            }
            case PlanAction.SetHedgeTimer set ->
                    scheduleEvent(set.delay(), new PlanEvent.HedgeDue());
            case PlanAction.SetResumeTimer set ->
                    scheduleEvent(set.delay(), new PlanEvent.ResumeDue());
            case PlanAction.ForwardHead head -> {}
            case PlanAction.ForwardBody body -> {
                mBody.writeBytes(body.bytes());
                mCellRun.recordAnswerBytes(mSubmission, mBody.toString(StandardCharsets.UTF_8));
            }
            case PlanAction.EndAnswer end ->
                    mCellRun.recordAnswer(mSubmission, mBody.toString(StandardCharsets.UTF_8));
            case PlanAction.AbortAnswer abort -> mCellRun.recordAbort(mSubmission, abort.reason());
            case PlanAction.Refuse refuse -> reportRefusal(refuse.outcome());
        }
    }

    /** Reports a refusal to the caller. */
    private void reportRefusal(RequestOutcome outcome) {
        boolean releasesClaim =
                mCellRun.mutant() == RequestMutant.CLAIM_RELEASED_AFTER_UNKNOWN
                        && outcome instanceof RequestOutcome.Unknown;
        if (releasesClaim) {
            releaseClaim(() -> {});
        }
        mSimulation.schedule(
                Duration.ofMillis(2),
                () -> mCellRun.recordRefusal(mSubmission, outcome, mEntry.name()));
    }

    /** Claims the idempotency key for an attempt at an agent. */
    private void requestClaim(String agent) {
        mCellRun.reachStep(RequestStep.CLAIM_SENT, mSubmission);
        mEntry.claimStore()
                .claim(new ClaimRequest("svc", mSubmission.idempotencyKey(), mAttemptId, agent))
                .subscribe()
                .with(result -> mEntry.process().execute(() -> handleClaimResult(result)));
    }

    /** Passes the result of a claim to the plan. */
    private void handleClaimResult(ClaimResult result) {
        mSimulation.trace(mEntry.name(), mSubmission + " claim result: " + result);
        PlanEvent event =
                switch (result) {
                    case ClaimResult.Granted granted -> {
                        mClaim = granted.claim();
                        mCellRun.reachStep(RequestStep.CLAIMED, mSubmission);
                        yield new PlanEvent.ClaimGranted();
                    }
                    case ClaimResult.AlreadyClaimed held ->
                            mCellRun.mutant() == RequestMutant.CLAIM_IGNORED
                                    ? new PlanEvent.ClaimGranted()
                                    : new PlanEvent.ClaimHeld(held.agent(), held.attemptId());
                    case ClaimResult.Unavailable refused ->
                            new PlanEvent.ClaimUnavailable(refused.reason());
                    case ClaimResult.Unknown unknown -> {
                        mClaim = unknown.claim();
                        yield new PlanEvent.ClaimUnknown(unknown.reason());
                    }
                };
        apply(event);
    }

    /** Releases the claim, if there is one. */
    private void releaseClaim(Runnable onReleased) {
        if (mClaim != null) {
            mSimulation.trace(mEntry.name(), mSubmission + " releases its claim");
            mEntry.claimStore().release(mClaim).subscribe().with(result -> onReleased.run());
        }
    }

    /** Opens an attempt at an agent, or reports that it was not sent if there is no connection. */
    private void openAttempt(
            int attempt, String agent, java.util.function.LongFunction<Message> message) {
        SimConnection connection = mEntry.openConnection(agent);
        if (connection == null) {
            apply(new PlanEvent.NotSent(attempt, "no open connection to the agent"));
            return;
        }
        long id = connection.openAttempt(this, attempt, message);
        mOpenAttempts.put(attempt, new OpenAttempt(this, attempt, connection, id));
    }

    /** Returns a query for the answer of an earlier attempt with the same idempotency key. */
    private AnswerQuery answerQuery(long id, String attemptId) {
        return new AnswerQuery(
                id, attemptId, "svc", mSubmission.idempotencyKey(), remainingMillis());
    }

    /** Returns the time to the deadline in milliseconds, at least 1. */
    private long remainingMillis() {
        return Math.max(1, (mRules.deadlineNanos() - mEntry.clock().monotonicNanos()) / 1_000_000);
    }

    /**
     * Returns the request message of an attempt.
     *
     * @param id call id on the connection
     */
    private Request requestMessage(long id, int attempt, boolean resume) {
        String attemptId = mRules.keyed() ? mAttemptId : mAttemptId + "-" + attempt;
        int lastEventId = RequestCellRun.lastEventId(mBody.toString(StandardCharsets.UTF_8));
        return new Request(
                id,
                attemptId,
                mSubmission.idempotencyKey(),
                mRules.idempotent(),
                "svc",
                mSubmission.kind().isIdempotent() ? "GET" : "POST",
                "/" + mSubmission,
                List.of(new HeaderField("Last-Event-ID", "" + lastEventId)),
                new byte[0],
                remainingMillis(),
                mRules.stream(),
                mSubmission.toString());
    }
}
