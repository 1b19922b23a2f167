package org.knapweedbank.agent;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.CheckpointTask;
import org.knapweedbank.wire.ReportAck;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.StopTask;
import org.knapweedbank.wire.TaskHeld;
import org.knapweedbank.wire.TaskReport;
import org.knapweedbank.wire.TaskReportState;
import org.knapweedbank.wire.ThrottleTask;
import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskState;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.Worker;
import org.knapweedbank.worker.WorkerResult;

/**
 * Executes the owner's commands at the worker, renews the leases while the session is valid, and
 * reports each change of an attempt until it is acknowledged. The worker's list is the authority:
 * it is read every second and resolves results that were lost. Runs on the duty thread.
 */
final class TaskDuty {
    /** Renewals in the time to live of a lease, so that two may fail. */
    private static final int RENEWALS_PER_LEASE = 3;

    /** A renewal or start is not issued when the session ends sooner than the call may take. */
    static final Duration CALL_MARGIN = Duration.ofSeconds(2);

    /** Interval of repeated reports and orders. */
    static final Duration REPEAT = Duration.ofSeconds(2);

    /** Interval at which an unconfirmed start is repeated; several fit into a permit. */
    static final Duration START_RETRY = Duration.ofMillis(300);

    /** Time after which a start without an answer cannot take effect any more. */
    static final Duration START_SETTLE = Duration.ofSeconds(10);

    /** Share of the lease that is left for checkpoints after the end of a session. */
    private static final double CHECKPOINT_SHARE = 2.0 / 3;

    /** Time for a restarted agent to open a session before it checkpoints the tasks it found. */
    static final Duration START_GRACE = Duration.ofSeconds(10);

    private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);
    private static final Duration CALL_RETRY = Duration.ofSeconds(1);
    private static final Duration START_CALL_LIMIT = Duration.ofSeconds(5);
    private static final int MAX_DETAIL = 1024;
    private static final Logger LOG = LogManager.getLogger(TaskDuty.class);

    private final TaskLedger mLedger;
    private final Worker mWorker;
    private final PermitCheck mPermits;
    private final SessionTimer mSession;
    private final ConfigState mConfig;
    private final Clock mClock;
    private final WorkerCalls mCalls;
    private final Predicate<TaskReport> mReports;
    private final PendingCall mList;
    private final PendingCall mRenewal;
    private final long mStartedNanos;
    private boolean mAdopted;
    private boolean mWasValid;
    private boolean mEndSeen;
    private long mEndSeenNanos;

    TaskDuty(
            TaskLedger ledger,
            Worker worker,
            PermitCheck permits,
            SessionTimer session,
            ConfigState config,
            Clock clock,
            DutyExecutor executor,
            Predicate<TaskReport> reports) {
        mLedger = ledger;
        mWorker = worker;
        mPermits = permits;
        mSession = session;
        mConfig = config;
        mClock = clock;
        mCalls = new WorkerCalls(executor);
        mReports = reports;
        mList = new PendingCall(clock, () -> LIST_INTERVAL, LIST_INTERVAL);
        mRenewal =
                new PendingCall(
                        clock, () -> session.leaseTtl().dividedBy(RENEWALS_PER_LEASE), CALL_RETRY);
        mStartedNanos = clock.monotonicNanos();
    }

    /** True once the worker's tasks are known, so that a session may be opened. */
    boolean adopted() {
        return mAdopted;
    }

    /** One pass over everything that is due. */
    void step() {
        if (mList.due()) {
            list();
        }
        boolean valid = mSession.valid();
        if (valid && !mWasValid) {
            mRenewal.hasten();
        }
        mWasValid = valid;
        if (mRenewal.due() && mayRenew()) {
            renew();
        }
        Optional<HeldAttempt.Order> order = orderAfterSession();
        for (HeldAttempt held : mLedger.attempts()) {
            order.filter(ignored -> !held.service()).ifPresent(held::order);
            drive(held);
            report(held);
        }
    }

    void start(StartTask start) {
        Optional<String> refusal =
                mSession.validFor(CALL_MARGIN)
                        ? mConfig.startRefusal().or(() -> mPermits.refusal(start.permit()))
                        : Optional.of("session has ended");
        switch (mLedger.decide(start, refusal)) {
            case StartDecision.Start decision -> {
                callStart(decision.held());
                reportNow(decision.held());
            }
            case StartDecision.Repeat decision -> reportNow(decision.held());
            case StartDecision.Refuse decision -> {
                LOG.warn(
                        "[agent] start of {} refused: {}",
                        decision.held().id(),
                        decision.held().detail());
                reportNow(decision.held());
            }
            case StartDecision.Ignore decision ->
                    LOG.warn(
                            "[agent] start of {}#{} ignored: {}",
                            start.task(),
                            start.attempt(),
                            decision.reason());
        }
    }

    void stop(StopTask stop) {
        order(stop.task(), stop.attempt(), HeldAttempt.Order.STOP);
    }

    void checkpoint(CheckpointTask checkpoint) {
        order(checkpoint.task(), checkpoint.attempt(), HeldAttempt.Order.CHECKPOINT);
    }

    void throttle(ThrottleTask throttle) {
        double share = throttle.share();
        if (!(share > 0 && share <= 1)) {
            LOG.warn("[agent] throttle of {} ignored: share is {}", throttle.task(), share);
            return;
        }
        if (mLedger.find(throttle.task(), throttle.attempt()).isPresent()) {
            mCalls.call(
                    mWorker.throttle(throttle.task(), throttle.attempt(), share),
                    result -> logFailure("throttle of " + throttle.task(), result));
        }
    }

    void acknowledge(ReportAck ack) {
        HeldAttempt held = mLedger.find(ack.task(), ack.attempt()).orElse(null);
        if (held == null || held.state() != ack.state()) {
            return;
        }
        held.acknowledged(true);
        if (held.ended()) {
            mLedger.release(held);
            if (held.state() != TaskReportState.NOT_STARTED) {
                forget(held.id());
            }
        }
    }

    /** Reports the ended attempts again in a new session. */
    void sessionOpened() {
        mLedger.attempts().forEach(held -> held.reportDueNanos(mClock.monotonicNanos()));
    }

    List<TaskHeld> held() {
        return mLedger.toMessages();
    }

    /** Renews the leases a last time before the agent ends, so that the next agent finds them. */
    Uni<Void> lastRenewal() {
        return mayRenew()
                ? mWorker.renew(mSession.leaseTtl()).replaceWithVoid().onFailure().recoverWithNull()
                : Uni.createFrom().voidItem();
    }

    private boolean mayRenew() {
        if (mSession.validFor(CALL_MARGIN)) {
            return true;
        }
        // The worker renews all its tasks at once. Without a session that is right only when
        // no batch task is left that the owner may place elsewhere.
        List<HeldAttempt> running =
                mLedger.attempts().stream().filter(held -> !held.ended()).toList();
        return !mSession.valid()
                && !running.isEmpty()
                && running.stream().allMatch(HeldAttempt::service);
    }

    /**
     * What batch tasks are told while there is no session. The time for checkpoints counts from the
     * first step that sees the end, so that an agent which was paused beyond it still tries them.
     */
    private Optional<HeldAttempt.Order> orderAfterSession() {
        long now = mClock.monotonicNanos();
        boolean starting = !mSession.everGranted() && now - mStartedNanos < START_GRACE.toNanos();
        if (mSession.valid() || starting) {
            mEndSeen = false;
            return Optional.empty();
        }
        if (!mEndSeen) {
            mEndSeen = true;
            mEndSeenNanos = now;
            LOG.warn("[agent] no session; batch tasks are checkpointed and stopped");
        }
        return Optional.of(
                now - mEndSeenNanos >= checkpointNanos()
                        ? HeldAttempt.Order.STOP
                        : HeldAttempt.Order.CHECKPOINT);
    }

    private long checkpointNanos() {
        return (long) (mSession.leaseTtl().toNanos() * CHECKPOINT_SHARE);
    }

    private void order(TaskId task, int attempt, HeldAttempt.Order order) {
        Optional<HeldAttempt> known = mLedger.find(task, attempt);
        AttemptId id = new AttemptId(task, attempt);
        if (known.isPresent()) {
            HeldAttempt held = known.get();
            held.order(order);
            drive(held);
            if (held.ended()) {
                reportNow(held);
            }
        } else if (!mLedger.remembered(id) && !mLedger.isFull()) {
            reportNow(mLedger.refuse(id, "ended before its start"));
        }
    }

    private void drive(HeldAttempt held) {
        if (held.ended() || !due(held.callDueNanos())) {
            return;
        }
        if (held.pendingStart() != null) {
            driveStart(held);
            return;
        }
        AttemptId id = held.id();
        switch (held.order()) {
            case NONE -> {}
            case CHECKPOINT -> {
                callAgain(held, REPEAT);
                mCalls.call(
                        mWorker.checkpoint(id.task(), id.attempt()),
                        result -> onOrderResult(held, "checkpoint", result));
            }
            case STOP -> {
                callAgain(held, REPEAT);
                mCalls.call(
                        mWorker.stop(id.task(), id.attempt()),
                        result -> onOrderResult(held, "stop", result));
            }
        }
    }

    private void driveStart(HeldAttempt held) {
        boolean wanted = held.order() == HeldAttempt.Order.NONE;
        Optional<String> refusal =
                mSession.validFor(CALL_MARGIN)
                        ? mConfig.startRefusal()
                                .or(() -> mPermits.refusal(held.pendingStart().permit()))
                        : Optional.of("session has ended");
        if (wanted && refusal.isEmpty()) {
            callStart(held);
        } else if (!held.uncertain()) {
            change(held, TaskReportState.NOT_STARTED, refusal.orElse("ended before its start"));
        }
    }

    private void callStart(HeldAttempt held) {
        StartTask start = held.pendingStart();
        callAgain(held, START_CALL_LIMIT);
        held.lastStartNanos(mClock.monotonicNanos());
        boolean wasUncertain = held.uncertain();
        held.uncertain(true);
        TaskStart order =
                new TaskStart(
                        start.task(),
                        start.attempt(),
                        start.resources(),
                        mSession.leaseTtl().toMillis(),
                        start.command(),
                        start.checkpoint());
        mCalls.call(mWorker.start(order), result -> onStartResult(held, wasUncertain, result));
    }

    private void onStartResult(
            HeldAttempt held, boolean wasUncertain, WorkerResult<TaskStatus> result) {
        if (held.ended() || held.pendingStart() == null) {
            return;
        }
        callAgain(held, START_RETRY);
        switch (result) {
            case WorkerResult.Succeeded<TaskStatus> succeeded -> confirm(held, succeeded.value());
            case WorkerResult.Refused<TaskStatus> refused -> {
                // An earlier call without an answer may still be under way, so this refusal
                // proves nothing by itself.
                if (!wasUncertain) {
                    held.uncertain(false);
                    change(held, TaskReportState.NOT_STARTED, refused.reason());
                }
            }
            case WorkerResult.Unavailable<TaskStatus> unavailable -> {
                held.uncertain(wasUncertain);
                LOG.debug("[agent] start of {}: {}", held.id(), unavailable.reason());
            }
            case WorkerResult.Unknown<TaskStatus> unknown -> {
                LOG.warn("[agent] start of {} has no answer: {}", held.id(), unknown.reason());
                mList.hasten();
            }
        }
    }

    private void onOrderResult(HeldAttempt held, String what, WorkerResult<TaskStatus> result) {
        if (result instanceof WorkerResult.Succeeded<TaskStatus> succeeded) {
            confirm(held, succeeded.value());
        } else {
            logFailure(what + " of " + held.id(), result);
        }
    }

    private void list() {
        long number = mList.issued();
        long issued = mList.issuedNanos();
        mCalls.call(
                mWorker.list(),
                result -> {
                    boolean succeeded = result instanceof WorkerResult.Succeeded;
                    boolean latest = mList.completed(number, succeeded);
                    if (latest
                            && result
                                    instanceof
                                    WorkerResult.Succeeded<List<TaskStatus>>(var statuses)) {
                        reconcile(statuses, issued);
                    }
                });
    }

    private void reconcile(List<TaskStatus> statuses, long issued) {
        Set<AttemptId> listed = new HashSet<>();
        for (TaskStatus status : statuses) {
            AttemptId id = new AttemptId(status.task(), status.attempt());
            listed.add(id);
            mLedger.find(status.task(), status.attempt())
                    .ifPresentOrElse(
                            held -> reconcileHeld(held, status), () -> reconcileUnheld(id, status));
        }
        for (HeldAttempt held : mLedger.attempts()) {
            if (!held.ended() && !listed.contains(held.id())) {
                reconcileAbsent(held, issued);
            }
        }
        mAdopted = true;
    }

    private void reconcileHeld(HeldAttempt held, TaskStatus status) {
        if (held.state() == TaskReportState.NOT_STARTED) {
            endUnexpected(held.id(), status);
        } else {
            confirm(held, status);
        }
    }

    private void reconcileUnheld(AttemptId id, TaskStatus status) {
        if (mLedger.remembered(id)) {
            endUnexpected(id, status);
        } else {
            HeldAttempt held =
                    mLedger.adopt(
                            id,
                            status.resources(),
                            reportState(status.state()),
                            detail(status.detail()));
            held.confirmedNanos(mClock.monotonicNanos());
            held.acknowledged(!held.ended());
            LOG.info("[agent] found {} at the worker, {}", id, status.state());
        }
    }

    /** Ends an attempt whose end, or whose refusal, was reported before. */
    private void endUnexpected(AttemptId id, TaskStatus status) {
        if (status.state().ended()) {
            forget(id);
        } else {
            LOG.error("[agent] {} runs although its end was reported; stopping it", id);
            mCalls.call(
                    mWorker.stop(id.task(), id.attempt()),
                    result -> logFailure("stop of " + id, result));
        }
    }

    private void reconcileAbsent(HeldAttempt held, long issued) {
        if (held.pendingStart() == null) {
            if (issued - held.confirmedNanos() > 0) {
                change(held, TaskReportState.STOPPED, "the worker no longer holds the attempt");
            }
        } else if (held.uncertain() && issued - held.lastStartNanos() >= START_SETTLE.toNanos()) {
            held.uncertain(false);
            change(held, TaskReportState.NOT_STARTED, "start had no answer and no effect");
        }
    }

    private void confirm(HeldAttempt held, TaskStatus status) {
        if (held.ended()) {
            return;
        }
        held.confirmedNanos(mClock.monotonicNanos());
        if (held.pendingStart() != null) {
            held.pendingStart(null);
            held.uncertain(false);
            held.callDueNanos(0);
        }
        change(held, reportState(status.state()), detail(status.detail()));
        if (!held.ended() && held.order() != HeldAttempt.Order.NONE && held.callDueNanos() == 0) {
            drive(held);
        }
    }

    private void change(HeldAttempt held, TaskReportState state, String detail) {
        if (mLedger.change(held, state, detail)) {
            reportNow(held);
        }
    }

    private void reportNow(HeldAttempt held) {
        held.acknowledged(false);
        held.reportDueNanos(mClock.monotonicNanos());
        report(held);
    }

    private void report(HeldAttempt held) {
        boolean starting = held.pendingStart() != null && !held.ended();
        if (held.acknowledged() || starting || !due(held.reportDueNanos())) {
            return;
        }
        AttemptId id = held.id();
        TaskReport report =
                new TaskReport(
                        mLedger.epoch(), id.task(), id.attempt(), held.state(), held.detail());
        if (mReports.test(report)) {
            held.reportDueNanos(mClock.monotonicNanos() + REPEAT.toNanos());
        }
    }

    private void renew() {
        long number = mRenewal.issued();
        mCalls.call(
                mWorker.renew(mSession.leaseTtl()),
                result -> {
                    mRenewal.completed(number, result instanceof WorkerResult.Succeeded);
                    logFailure("renewal of the leases", result);
                });
    }

    private void forget(AttemptId id) {
        mCalls.call(
                mWorker.forget(id.task(), id.attempt()),
                result -> logFailure("forgetting " + id, result));
    }

    private void callAgain(HeldAttempt held, Duration delay) {
        held.callDueNanos(mClock.monotonicNanos() + delay.toNanos());
    }

    private boolean due(long nanos) {
        return nanos == 0 || mClock.monotonicNanos() - nanos >= 0;
    }

    private static String detail(String detail) {
        return detail.length() <= MAX_DETAIL ? detail : detail.substring(0, MAX_DETAIL);
    }

    private static TaskReportState reportState(TaskState state) {
        return switch (state) {
            case RUNNING -> TaskReportState.RUNNING;
            case CHECKPOINTING -> TaskReportState.CHECKPOINTING;
            case CHECKPOINTED -> TaskReportState.CHECKPOINTED;
            case FINISHED -> TaskReportState.FINISHED;
            case FAILED -> TaskReportState.FAILED;
            case STOPPED, EXPIRED -> TaskReportState.STOPPED;
        };
    }

    private static void logFailure(String what, WorkerResult<?> result) {
        switch (result) {
            case WorkerResult.Succeeded<?> succeeded -> {}
            case WorkerResult.Refused<?> refused ->
                    LOG.warn("[agent] {} refused by the worker: {}", what, refused.reason());
            case WorkerResult.Unavailable<?> unavailable ->
                    LOG.warn("[agent] {} failed: {}", what, unavailable.reason());
            case WorkerResult.Unknown<?> unknown ->
                    LOG.warn("[agent] {} has no answer: {}", what, unknown.reason());
        }
    }
}
