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
 * Executes the owner's task commands at the worker, renews the task leases while the session is
 * valid, and reports each state change of an attempt until the owner acknowledges it. The worker's
 * task list is authoritative: it is read every second, and resolves the outcome of calls whose
 * results were lost. Not thread-safe; used on the control thread only.
 */
final class TaskDuty {
    /**
     * Number of renewals during the time to live of a lease; two of them may fail without the loss
     * of the lease.
     */
    private static final int RENEWALS_PER_LEASE = 3;

    /**
     * Minimum remaining validity of the session for issuing a renewal or start, so that the call
     * completes before the session ends.
     */
    static final Duration CALL_MARGIN = Duration.ofSeconds(2);

    /** Interval at which unacknowledged reports and commands without effect are sent again. */
    static final Duration RESEND_INTERVAL = Duration.ofSeconds(2);

    /**
     * Interval at which an unconfirmed start is retried; several retries fit into the validity of a
     * permit.
     */
    static final Duration START_RETRY_INTERVAL = Duration.ofMillis(300);

    /** Time after which a start call without an answer can no longer take effect. */
    static final Duration START_SETTLE_TIME = Duration.ofSeconds(10);

    /**
     * Fraction of the lease time that batch tasks have for writing checkpoints after the end of a
     * session, before they are stopped.
     */
    private static final double CHECKPOINT_LEASE_FRACTION = 2.0 / 3;

    /**
     * Time that a restarted agent has for opening a session before it checkpoints the batch tasks
     * that it found at the worker.
     */
    static final Duration SESSION_GRACE = Duration.ofSeconds(10);

    private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);
    private static final Duration RENEWAL_RETRY_INTERVAL = Duration.ofSeconds(1);
    private static final Duration START_CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_DETAIL_CHARS = 1024;
    private static final Logger LOG = LogManager.getLogger(TaskDuty.class);

    private final AttemptTable mAttemptTable;
    private final Worker mWorker;
    private final PermitCheck mPermits;
    private final SessionTimer mSessionTimer;
    private final ConfigState mConfig;
    private final Clock mClock;
    private final WorkerCalls mCalls;
    private final Predicate<TaskReport> mReportSender;
    private final PeriodicCall mListCall;
    private final PeriodicCall mRenewalCall;
    private final long mStartedNanos;
    private boolean mWorkerTasksKnown;
    private boolean mSessionWasValid;
    private boolean mSessionEndDetected;
    private long mSessionEndDetectedNanos;

    TaskDuty(
            AttemptTable attemptTable,
            Worker worker,
            PermitCheck permits,
            SessionTimer session,
            ConfigState config,
            Clock clock,
            DutyExecutor executor,
            Predicate<TaskReport> reportSender) {
        mAttemptTable = attemptTable;
        mWorker = worker;
        mPermits = permits;
        mSessionTimer = session;
        mConfig = config;
        mClock = clock;
        mCalls = new WorkerCalls(executor);
        mReportSender = reportSender;
        mListCall = new PeriodicCall(clock, () -> LIST_INTERVAL, LIST_INTERVAL);
        mRenewalCall =
                new PeriodicCall(
                        clock,
                        () -> session.leaseTtl().dividedBy(RENEWALS_PER_LEASE),
                        RENEWAL_RETRY_INTERVAL);
        mStartedNanos = clock.monotonicNanos();
    }

    /**
     * Returns true once the worker's task list has been read. A session may only be opened after
     * that, because the session request contains the held attempts.
     */
    boolean areWorkerTasksKnown() {
        return mWorkerTasksKnown;
    }

    /** Issues the calls and reports that are due; called periodically. */
    void step() {
        if (mListCall.isDue()) {
            requestList();
        }
        boolean valid = mSessionTimer.isValid();
        if (valid && !mSessionWasValid) {
            mRenewalCall.makeDueNow();
        }
        mSessionWasValid = valid;
        if (mRenewalCall.isDue() && mayRenew()) {
            renew();
        }
        Optional<HeldAttempt.Command> command = commandWithoutSession();
        for (HeldAttempt held : mAttemptTable.attempts()) {
            command.filter(ignored -> !held.isService()).ifPresent(held::raiseCommand);
            issueNextCall(held);
            report(held);
        }
    }

    /** Handles a start command: starts the attempt, refuses it, or reports its state again. */
    void start(StartTask start) {
        Optional<String> refusal =
                mSessionTimer.isValidFor(CALL_MARGIN)
                        ? mConfig.startRefusal().or(() -> mPermits.refusal(start.permit()))
                        : Optional.of("session has ended");
        switch (mAttemptTable.decideStart(start, refusal)) {
            case StartDecision.Start decision -> {
                sendStart(decision.held());
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
        applyCommand(stop.task(), stop.attempt(), HeldAttempt.Command.STOP);
    }

    void checkpoint(CheckpointTask checkpoint) {
        applyCommand(checkpoint.task(), checkpoint.attempt(), HeldAttempt.Command.CHECKPOINT);
    }

    void throttle(ThrottleTask throttle) {
        double share = throttle.share();
        if (!(share > 0 && share <= 1)) {
            LOG.warn("[agent] throttle of {} ignored: share is {}", throttle.task(), share);
            return;
        }
        if (mAttemptTable.find(throttle.task(), throttle.attempt()).isPresent()) {
            mCalls.call(
                    mWorker.throttle(throttle.task(), throttle.attempt(), share),
                    result -> logFailure("throttle of " + throttle.task(), result));
        }
    }

    /** Handles the acknowledgement of a report; an acknowledged end is removed at the worker. */
    void acknowledge(ReportAck ack) {
        HeldAttempt held = mAttemptTable.find(ack.task(), ack.attempt()).orElse(null);
        if (held == null || held.state() != ack.state()) {
            return;
        }
        held.setAcknowledged(true);
        if (held.hasEnded()) {
            mAttemptTable.release(held);
            if (held.state() != TaskReportState.NOT_STARTED) {
                forget(held.id());
            }
        }
    }

    /** Makes all unacknowledged reports due; called when a new session has been granted. */
    void sessionOpened() {
        mAttemptTable.attempts().forEach(held -> held.setReportDueNanos(mClock.monotonicNanos()));
    }

    List<TaskHeld> heldAttempts() {
        return mAttemptTable.toMessages();
    }

    /**
     * Renews the leases before the agent stops, so that the tasks are still running when the
     * agent's next incarnation starts.
     */
    Uni<Void> renewBeforeStop() {
        return mayRenew()
                ? mWorker.renew(mSessionTimer.leaseTtl())
                        .replaceWithVoid()
                        .onFailure()
                        .recoverWithNull()
                : Uni.createFrom().voidItem();
    }

    /** Returns true if the leases of all tasks at the worker may be renewed. */
    private boolean mayRenew() {
        if (mSessionTimer.isValidFor(CALL_MARGIN)) {
            return true;
        }
        // The worker renews the leases of all its tasks at once. Without a session, this is allowed
        // only when no batch task is left that the owner may place elsewhere.
        List<HeldAttempt> running =
                mAttemptTable.attempts().stream().filter(held -> !held.hasEnded()).toList();
        return !mSessionTimer.isValid()
                && !running.isEmpty()
                && running.stream().allMatch(HeldAttempt::isService);
    }

    /**
     * Returns the command for batch tasks while there is no valid session, or empty while there is
     * one. The time for checkpoints starts at the first step that detects the end of the session,
     * so that an agent that was paused beyond that time still requests checkpoints.
     */
    private Optional<HeldAttempt.Command> commandWithoutSession() {
        long now = mClock.monotonicNanos();
        boolean withinGrace =
                !mSessionTimer.wasGranted() && now - mStartedNanos < SESSION_GRACE.toNanos();
        if (mSessionTimer.isValid() || withinGrace) {
            mSessionEndDetected = false;
            return Optional.empty();
        }
        if (!mSessionEndDetected) {
            mSessionEndDetected = true;
            mSessionEndDetectedNanos = now;
            LOG.warn("[agent] no session; batch tasks are checkpointed and stopped");
        }
        return Optional.of(
                now - mSessionEndDetectedNanos >= checkpointTimeNanos()
                        ? HeldAttempt.Command.STOP
                        : HeldAttempt.Command.CHECKPOINT);
    }

    private long checkpointTimeNanos() {
        return (long) (mSessionTimer.leaseTtl().toNanos() * CHECKPOINT_LEASE_FRACTION);
    }

    /**
     * Applies a command to end an attempt. An attempt that is not known is held as not started, so
     * that a start that arrives later has no effect.
     */
    private void applyCommand(TaskId task, int attempt, HeldAttempt.Command command) {
        Optional<HeldAttempt> known = mAttemptTable.find(task, attempt);
        AttemptId id = new AttemptId(task, attempt);
        if (known.isPresent()) {
            HeldAttempt held = known.get();
            held.raiseCommand(command);
            issueNextCall(held);
            if (held.hasEnded()) {
                reportNow(held);
            }
        } else if (!mAttemptTable.isEndRemembered(id) && !mAttemptTable.isFull()) {
            reportNow(mAttemptTable.holdAsNotStarted(id, "ended before its start"));
        }
    }

    /** Issues the next worker call for an attempt if one is due. */
    private void issueNextCall(HeldAttempt held) {
        if (held.hasEnded() || !isDue(held.callDueNanos())) {
            return;
        }
        if (held.pendingStart() != null) {
            retryStart(held);
            return;
        }
        AttemptId id = held.id();
        switch (held.command()) {
            case NONE -> {}
            case CHECKPOINT -> {
                delayNextCall(held, RESEND_INTERVAL);
                mCalls.call(
                        mWorker.checkpoint(id.task(), id.attempt()),
                        result -> onCommandResult(held, "checkpoint", result));
            }
            case STOP -> {
                delayNextCall(held, RESEND_INTERVAL);
                mCalls.call(
                        mWorker.stop(id.task(), id.attempt()),
                        result -> onCommandResult(held, "stop", result));
            }
        }
    }

    /** Retries an unconfirmed start, or ends it if it is no longer wanted or permitted. */
    private void retryStart(HeldAttempt held) {
        boolean startWanted = held.command() == HeldAttempt.Command.NONE;
        Optional<String> refusal =
                mSessionTimer.isValidFor(CALL_MARGIN)
                        ? mConfig.startRefusal()
                                .or(() -> mPermits.refusal(held.pendingStart().permit()))
                        : Optional.of("session has ended");
        if (startWanted && refusal.isEmpty()) {
            sendStart(held);
        } else if (!held.isStartUncertain()) {
            change(held, TaskReportState.NOT_STARTED, refusal.orElse("ended before its start"));
        }
    }

    private void sendStart(HeldAttempt held) {
        StartTask start = held.pendingStart();
        delayNextCall(held, START_CALL_TIMEOUT);
        held.setLastStartNanos(mClock.monotonicNanos());
        boolean wasUncertain = held.isStartUncertain();
        held.setStartUncertain(true);
        TaskStart taskStart =
                new TaskStart(
                        start.task(),
                        start.attempt(),
                        start.resources(),
                        mSessionTimer.leaseTtl().toMillis(),
                        start.command(),
                        start.checkpoint());
        mCalls.call(mWorker.start(taskStart), result -> onStartResult(held, wasUncertain, result));
    }

    private void onStartResult(
            HeldAttempt held, boolean wasUncertain, WorkerResult<TaskStatus> result) {
        if (held.hasEnded() || held.pendingStart() == null) {
            return;
        }
        delayNextCall(held, START_RETRY_INTERVAL);
        switch (result) {
            case WorkerResult.Succeeded<TaskStatus> succeeded -> confirm(held, succeeded.value());
            case WorkerResult.Refused<TaskStatus> refused -> {
                // An earlier call without an answer may still take effect, so this refusal alone
                // does not prove that the attempt is not running.
                if (!wasUncertain) {
                    held.setStartUncertain(false);
                    change(held, TaskReportState.NOT_STARTED, refused.reason());
                }
            }
            case WorkerResult.Unavailable<TaskStatus> unavailable -> {
                held.setStartUncertain(wasUncertain);
                LOG.debug(
                        "[agent] start of {} failed, worker unavailable: {}",
                        held.id(),
                        unavailable.reason());
            }
            case WorkerResult.Unknown<TaskStatus> unknown -> {
                LOG.warn(
                        "[agent] start of {} got no answer from the worker: {}",
                        held.id(),
                        unknown.reason());
                mListCall.makeDueNow();
            }
        }
    }

    private void onCommandResult(
            HeldAttempt held, String callDescription, WorkerResult<TaskStatus> result) {
        if (result instanceof WorkerResult.Succeeded<TaskStatus> succeeded) {
            confirm(held, succeeded.value());
        } else {
            logFailure(callDescription + " of " + held.id(), result);
        }
    }

    private void requestList() {
        long number = mListCall.recordIssue();
        long issuedNanos = mListCall.issuedNanos();
        mCalls.call(
                mWorker.list(),
                result -> {
                    boolean succeeded = result instanceof WorkerResult.Succeeded;
                    boolean latest = mListCall.recordResult(number, succeeded);
                    if (latest
                            && result
                                    instanceof
                                    WorkerResult.Succeeded<List<TaskStatus>>(var statuses)) {
                        reconcile(statuses, issuedNanos);
                    }
                });
    }

    private void reconcile(List<TaskStatus> statuses, long issuedNanos) {
        Set<AttemptId> listed = new HashSet<>();
        for (TaskStatus status : statuses) {
            AttemptId id = new AttemptId(status.task(), status.attempt());
            listed.add(id);
            mAttemptTable
                    .find(status.task(), status.attempt())
                    .ifPresentOrElse(
                            held -> reconcileHeld(held, status),
                            () -> reconcileNotHeld(id, status));
        }
        for (HeldAttempt held : mAttemptTable.attempts()) {
            if (!held.hasEnded() && !listed.contains(held.id())) {
                reconcileAbsent(held, issuedNanos);
            }
        }
        mWorkerTasksKnown = true;
    }

    private void reconcileHeld(HeldAttempt held, TaskStatus status) {
        if (held.state() == TaskReportState.NOT_STARTED) {
            endAttemptReportedAsEnded(held.id(), status);
        } else {
            confirm(held, status);
        }
    }

    private void reconcileNotHeld(AttemptId id, TaskStatus status) {
        if (mAttemptTable.isEndRemembered(id)) {
            endAttemptReportedAsEnded(id, status);
        } else {
            HeldAttempt held =
                    mAttemptTable.adopt(
                            id,
                            status.resources(),
                            reportState(status.state()),
                            detail(status.detail()));
            held.setConfirmedNanos(mClock.monotonicNanos());
            held.setAcknowledged(!held.hasEnded());
            LOG.info("[agent] adopted {} found at the worker in state {}", id, status.state());
        }
    }

    /** Ends an attempt at the worker that was already reported as ended or not started. */
    private void endAttemptReportedAsEnded(AttemptId id, TaskStatus status) {
        if (status.state().ended()) {
            forget(id);
        } else {
            LOG.error(
                    "[agent] {} still runs at the worker after its end was reported; stopping it",
                    id);
            mCalls.call(
                    mWorker.stop(id.task(), id.attempt()),
                    result -> logFailure("stop of " + id, result));
        }
    }

    /** Handles a held attempt that is missing in the worker's list. */
    private void reconcileAbsent(HeldAttempt held, long issuedNanos) {
        if (held.pendingStart() == null) {
            if (issuedNanos - held.confirmedNanos() > 0) {
                change(held, TaskReportState.STOPPED, "the worker no longer holds the attempt");
            }
        } else if (held.isStartUncertain()
                && issuedNanos - held.lastStartNanos() >= START_SETTLE_TIME.toNanos()) {
            held.setStartUncertain(false);
            change(held, TaskReportState.NOT_STARTED, "start had no answer and no effect");
        }
    }

    /** Applies the state of an attempt that the worker has confirmed. */
    private void confirm(HeldAttempt held, TaskStatus status) {
        if (held.hasEnded()) {
            return;
        }
        held.setConfirmedNanos(mClock.monotonicNanos());
        if (held.pendingStart() != null) {
            held.setPendingStart(null);
            held.setStartUncertain(false);
            held.setCallDueNanos(0);
        }
        change(held, reportState(status.state()), detail(status.detail()));
        if (!held.hasEnded()
                && held.command() != HeldAttempt.Command.NONE
                && held.callDueNanos() == 0) {
            issueNextCall(held);
        }
    }

    private void change(HeldAttempt held, TaskReportState state, String detail) {
        if (mAttemptTable.changeState(held, state, detail)) {
            reportNow(held);
        }
    }

    /** Sends a report of the attempt's state, and repeats it until it is acknowledged. */
    private void reportNow(HeldAttempt held) {
        held.setAcknowledged(false);
        held.setReportDueNanos(mClock.monotonicNanos());
        report(held);
    }

    private void report(HeldAttempt held) {
        boolean startPending = held.pendingStart() != null && !held.hasEnded();
        if (held.isAcknowledged() || startPending || !isDue(held.reportDueNanos())) {
            return;
        }
        AttemptId id = held.id();
        TaskReport report =
                new TaskReport(
                        mAttemptTable.epoch(),
                        id.task(),
                        id.attempt(),
                        held.state(),
                        held.detail());
        if (mReportSender.test(report)) {
            held.setReportDueNanos(mClock.monotonicNanos() + RESEND_INTERVAL.toNanos());
        }
    }

    private void renew() {
        long number = mRenewalCall.recordIssue();
        mCalls.call(
                mWorker.renew(mSessionTimer.leaseTtl()),
                result -> {
                    mRenewalCall.recordResult(number, result instanceof WorkerResult.Succeeded);
                    logFailure("renewal of the task leases", result);
                });
    }

    private void forget(AttemptId id) {
        mCalls.call(
                mWorker.forget(id.task(), id.attempt()),
                result -> logFailure("removal of ended attempt " + id, result));
    }

    private void delayNextCall(HeldAttempt held, Duration delay) {
        held.setCallDueNanos(mClock.monotonicNanos() + delay.toNanos());
    }

    private boolean isDue(long nanos) {
        return nanos == 0 || mClock.monotonicNanos() - nanos >= 0;
    }

    /** Returns a detail text cut to the maximum length. */
    private static String detail(String detail) {
        return detail.length() <= MAX_DETAIL_CHARS ? detail : detail.substring(0, MAX_DETAIL_CHARS);
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

    /** Logs the result of a call to the worker unless the call succeeded. */
    private static void logFailure(String callDescription, WorkerResult<?> result) {
        switch (result) {
            case WorkerResult.Succeeded<?> succeeded -> {}
            case WorkerResult.Refused<?> refused ->
                    LOG.warn(
                            "[agent] {} refused by the worker: {}",
                            callDescription,
                            refused.reason());
            case WorkerResult.Unavailable<?> unavailable ->
                    LOG.warn("[agent] {} failed: {}", callDescription, unavailable.reason());
            case WorkerResult.Unknown<?> unknown ->
                    LOG.warn(
                            "[agent] {} got no answer from the worker: {}",
                            callDescription,
                            unknown.reason());
        }
    }
}
