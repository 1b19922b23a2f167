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

/** One submission of a request at an entry: carries out the actions of its plan. */
final class SimExchange {
    private final RequestWorld mWorld;
    private final Simulation mSimulation;
    private final SimRequestEntry mEntry;
    private final Submission mSubmission;
    private final String mAttemptId;
    private final RequestRules mRules;
    private final RequestPlan mPlan;
    private final Deque<PlanEvent> mEvents = new ArrayDeque<>();
    private final Map<Integer, SimCall> mCalls = new HashMap<>();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Claim mClaim;
    private boolean mApplying;

    /** An attempt that is open on a connection. */
    record SimCall(SimExchange exchange, int attempt, SimConnection connection, long id) {}

    SimExchange(RequestWorld world, SimRequestEntry entry, Submission submission, String id) {
        mWorld = world;
        mSimulation = world.simulation();
        mEntry = entry;
        mSubmission = submission;
        mAttemptId = id;
        Kind kind = submission.kind();
        boolean retried =
                kind == Kind.POST && world.mutant() == RequestMutant.NON_IDEMPOTENT_RETRIED;
        long deadline = entry.clock().monotonicNanos() + Duration.ofSeconds(4).toNanos();
        mRules =
                new RequestRules(
                        kind.idempotent() || retried,
                        kind == Kind.KEYED,
                        kind == Kind.STREAM,
                        deadline);
        RetryBudget retries = new RetryBudget(0.1, 10);
        HedgePolicy hedges = new HedgePolicy(new RetryBudget(0.05, 10), 0.95);
        for (int i = 0; i < 64; i++) {
            hedges.answered(Duration.ofMillis(150).toNanos());
        }
        mPlan = new RequestPlan(mRules, entry.pool(), retries, hedges, entry.clock());
    }

    void start() {
        mWorld.step(RequestStep.ACCEPTED, mSubmission);
        timer(Duration.ofSeconds(4), new PlanEvent.DeadlinePassed());
        apply(new PlanEvent.Start());
    }

    Submission submission() {
        return mSubmission;
    }

    void timer(Duration delay, PlanEvent event) {
        mSimulation.after(delay, () -> mEntry.process().execute(() -> apply(event)));
    }

    void apply(PlanEvent event) {
        mEvents.add(event);
        if (mApplying) {
            return;
        }
        mApplying = true;
        while (!mEvents.isEmpty()) {
            for (PlanAction action : mPlan.on(mEvents.poll())) {
                execute(action);
            }
        }
        mApplying = false;
        if (mPlan.finished()) {
            mCalls.values().forEach(call -> call.connection().forget(call.id()));
            mCalls.clear();
        }
    }

    private void execute(PlanAction action) {
        switch (action) {
            case PlanAction.Claim claim -> claim(claim.agent());
            case PlanAction.ReleaseClaim release -> release(() -> {});
            case PlanAction.Send send -> {
                String agent = send.upstream().agent().value();
                mWorld.step(RequestStep.SENT, mSubmission);
                open(send.attempt(), agent, id -> message(id, send.attempt(), send.resume()));
            }
            case PlanAction.Replay replay -> {
                mWorld.step(RequestStep.KEY_REPEATED, mSubmission);
                open(replay.attempt(), replay.agent(), id -> query(id, replay.attemptId()));
            }
            case PlanAction.Cancel cancel -> {
                SimCall call = mCalls.remove(cancel.attempt());
                if (call != null) {
                    call.connection().forget(call.id());
                    call.connection().toAgent(new Cancel(call.id()));
                }
            }
            case PlanAction.SetHedgeTimer set -> timer(set.delay(), new PlanEvent.HedgeDue());
            case PlanAction.SetResumeTimer set -> timer(set.delay(), new PlanEvent.ResumeDue());
            case PlanAction.ForwardHead head -> {}
            case PlanAction.ForwardBody body -> {
                mBody.writeBytes(body.bytes());
                mWorld.received(mSubmission, mBody.toString(StandardCharsets.UTF_8));
            }
            case PlanAction.EndAnswer end ->
                    mWorld.answered(mSubmission, mBody.toString(StandardCharsets.UTF_8));
            case PlanAction.AbortAnswer abort -> mWorld.aborted(mSubmission, abort.reason());
            case PlanAction.Refuse refuse -> refuse(refuse.outcome());
        }
    }

    private void refuse(RequestOutcome outcome) {
        boolean releases =
                mWorld.mutant() == RequestMutant.CLAIM_RELEASED_AFTER_UNKNOWN
                        && outcome instanceof RequestOutcome.Unknown;
        if (releases) {
            release(() -> {});
        }
        mSimulation.after(
                Duration.ofMillis(2), () -> mWorld.refused(mSubmission, outcome, mEntry.name()));
    }

    private void claim(String agent) {
        mWorld.step(RequestStep.CLAIM_SENT, mSubmission);
        mEntry.claims()
                .claim(new ClaimRequest("svc", mSubmission.key(), mAttemptId, agent))
                .subscribe()
                .with(result -> mEntry.process().execute(() -> claimed(result)));
    }

    private void claimed(ClaimResult result) {
        mSimulation.trace(mEntry.name(), mSubmission + " claim: " + result);
        PlanEvent event =
                switch (result) {
                    case ClaimResult.Granted granted -> {
                        mClaim = granted.claim();
                        mWorld.step(RequestStep.CLAIMED, mSubmission);
                        yield new PlanEvent.ClaimGranted();
                    }
                    case ClaimResult.AlreadyClaimed held ->
                            mWorld.mutant() == RequestMutant.CLAIM_IGNORED
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

    private void release(Runnable done) {
        if (mClaim != null) {
            mSimulation.trace(mEntry.name(), mSubmission + " releases its claim");
            mEntry.claims().release(mClaim).subscribe().with(result -> done.run());
        }
    }

    private void open(int attempt, String agent, java.util.function.LongFunction<Message> message) {
        SimConnection connection = mEntry.connection(agent);
        if (connection == null) {
            apply(new PlanEvent.NotSent(attempt, "no connection to the agent"));
            return;
        }
        long id = connection.open(this, attempt, message);
        mCalls.put(attempt, new SimCall(this, attempt, connection, id));
    }

    private AnswerQuery query(long id, String attemptId) {
        return new AnswerQuery(id, attemptId, "svc", mSubmission.key(), left());
    }

    private long left() {
        return Math.max(1, (mRules.deadlineNanos() - mEntry.clock().monotonicNanos()) / 1_000_000);
    }

    private Request message(long id, int attempt, boolean resume) {
        String attemptId = mRules.keyed() ? mAttemptId : mAttemptId + "-" + attempt;
        int seen = RequestWorld.lastEvent(mBody.toString(StandardCharsets.UTF_8));
        return new Request(
                id,
                attemptId,
                mSubmission.key(),
                mRules.idempotent(),
                "svc",
                mSubmission.kind().idempotent() ? "GET" : "POST",
                "/" + mSubmission,
                List.of(new HeaderField("Last-Event-ID", "" + seen)),
                new byte[0],
                left(),
                mRules.stream(),
                mSubmission.toString());
    }
}
