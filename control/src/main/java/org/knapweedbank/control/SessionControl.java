package org.knapweedbank.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.config.ServiceSettings;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.UsageObservation;
import org.knapweedbank.scheduling.task.TaskEvent;
import org.knapweedbank.scheduling.task.TaskLifecycle;
import org.knapweedbank.scheduling.task.TaskTransitions;
import org.knapweedbank.scheduling.task.TransitionResult;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.HeartbeatAck;
import org.knapweedbank.wire.Redirect;
import org.knapweedbank.wire.ReportAck;
import org.knapweedbank.wire.SessionGrant;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.StopTask;
import org.knapweedbank.wire.TaskDigest;
import org.knapweedbank.wire.TaskHeld;
import org.knapweedbank.wire.TaskList;
import org.knapweedbank.wire.TaskListRequest;
import org.knapweedbank.wire.TaskReport;
import org.knapweedbank.wire.TaskReportState;
import org.knapweedbank.wire.UsageSample;

/**
 * Manages the sessions of VMs: heartbeats, task reports, expiry, and the reconciliation of the
 * attempts that agents hold with the journal.
 */
final class SessionControl {
    private static final Logger LOG = LogManager.getLogger(SessionControl.class);

    /** Maximum time until the effect of a command shows in the task digest of a heartbeat. */
    private static final long DIGEST_SETTLE_NANOS = 2_000_000_000L;

    /** Interval at which a command whose effect has not been reported is sent again. */
    private static final long RESEND_INTERVAL_NANOS = 10_000_000_000L;

    private final PartitionContext mContext;
    private final AttemptControl mAttempts;
    private final TaskStarter mStarter;
    private final VmExpiry mExpiry;

    SessionControl(PartitionContext context, AttemptControl attempts, TaskStarter starter) {
        mContext = context;
        mAttempts = attempts;
        mStarter = starter;
        mExpiry = new VmExpiry(context, attempts);
    }

    /**
     * Creates sessions for the VMs that held tasks under the previous owner; called after a
     * takeover. They expire when the leases granted by the previous owner have ended.
     */
    void createInheritedSessions() {
        long wait = mContext.settings().inheritedExpiry().toNanos();
        long expiresAt = mContext.nowNanos() + wait;
        mContext.state()
                .occupiedVms()
                .forEach(vm -> mContext.sessions().put(vm, new VmSession(vm, expiresAt)));
    }

    /**
     * Grants a session to an agent, replaces an earlier connection of the same VM, and reconciles
     * the attempts that the agent holds.
     */
    void open(AgentControlConnection connection, SessionOpen open) {
        if (!mContext.mayRenewSessions()) {
            // A grant renews the leases like a heartbeat does, but a later owner may rely on their
            // expiry.
            LOG.warn("[control] no session granted to {}: no contact with the store", open.vm());
            connection.send(new Redirect("", 0));
            return;
        }
        long now = mContext.nowNanos();
        VmId vm = open.vm();
        VmSession session =
                mContext.sessions().computeIfAbsent(vm, key -> new VmSession(key, Long.MIN_VALUE));
        if (session.isConnected() && session.connection() != connection) {
            session.connection().close("replaced by a newer connection of the same VM");
        }
        boolean first = !session.hasConnected();
        Resources before = session.capacity();
        session.connect(
                connection, open.rack(), open.capacity(), now, mContext.settings().vmExpiry());
        connection.onSessionGranted(mContext.partition(), mContext.epoch());
        long ttl = mContext.settings().sessionTtl().toMillis();
        connection.send(new SessionGrant(mContext.partition(), mContext.epoch(), ttl));
        mContext.scheduler().putVm(session.description());
        if (!open.workerAddress().equals(mContext.state().workerAddress(vm))) {
            mContext.append(new JournalRecord.VmRegistered(vm, open.workerAddress()), () -> {});
        }
        if (first) {
            mContext.state().tasksOn(vm).forEach(task -> adopt(task, vm));
        }
        mContext.scheduler().setSchedulable(vm, true);
        reconcile(session, open.tasks(), task -> task.startConnection() != connection);
        if (first || !before.equals(open.capacity())) {
            mStarter.retryUnplaceable();
        }
    }

    /** Registers with the scheduler an attempt that an earlier owner placed. */
    private void adopt(TaskEntry task, VmId vm) {
        mContext.scheduler().adopt(task.toPendingTask(mContext.nowNanos()), vm, task.reserved());
    }

    void closed(AgentControlConnection connection) {
        mContext.sessions().values().stream()
                .filter(session -> session.connection() == connection)
                .forEach(
                        session -> {
                            session.disconnect();
                            mContext.scheduler().setSchedulable(session.vm(), false);
                        });
    }

    private Optional<VmSession> connectedSession(VmId vm) {
        return Optional.ofNullable(mContext.sessions().get(vm)).filter(VmSession::isConnected);
    }

    void heartbeat(VmId vm, Heartbeat heartbeat) {
        long now = mContext.nowNanos();
        connectedSession(vm)
                .filter(session -> session.recordHeartbeat(heartbeat, now))
                .ifPresent(session -> heartbeat(session, heartbeat, now));
    }

    private void heartbeat(VmSession session, Heartbeat heartbeat, long now) {
        if (heartbeat.epoch() > mContext.epoch()) {
            session.connection().close("the agent has accepted a higher epoch");
            return;
        }
        if (mContext.mayRenewSessions()) {
            session.renew(now, mContext.settings().vmExpiry());
            long generation = mContext.configuration().generation();
            session.connection()
                    .send(new HeartbeatAck(heartbeat.seq(), mContext.epoch(), generation));
        }
        mContext.scheduler().setSchedulable(session.vm(), true);
        session.updateLatencies(heartbeat.latencies());
        heartbeat.usage().forEach(sample -> recordUsage(session, sample, now));
        checkDigest(session, now);
    }

    private void recordUsage(VmSession session, UsageSample sample, long now) {
        VmId vm = session.vm();
        mContext.state()
                .task(sample.task())
                .filter(task -> vm.equals(task.vm()) && task.attempt() == sample.attempt())
                .map(task -> observation(task, session, sample, now))
                .ifPresent(mContext.scheduler()::recordUsage);
    }

    private UsageObservation observation(
            TaskEntry task, VmSession session, UsageSample sample, long now) {
        return new UsageObservation(
                sample.task(),
                session.vm(),
                sample.used(),
                p99Micros(task, session, sample),
                objectiveMicros(task),
                now - sample.ageMillis() * 1_000_000);
    }

    /**
     * Returns the 99th percentile latency of a task in microseconds. For a service task without a
     * sample of its own, the latency measured by the VM's agent applies, under the service whose
     * name is the task class.
     */
    private static long p99Micros(TaskEntry task, VmSession session, UsageSample sample) {
        boolean measured = sample.p99Micros() > 0 || !task.job().isService();
        return measured ? sample.p99Micros() : session.latencyMicros(task.job().spec().taskClass());
    }

    /** Returns the latency objective of a task's service in microseconds, or 0 without one. */
    private long objectiveMicros(TaskEntry task) {
        return mContext.configuration()
                .service(task.job().spec().taskClass())
                .map(ServiceSettings::objectiveMillis)
                .map(millis -> millis * 1_000)
                .orElse(0L);
    }

    /**
     * Requests the task list of the VM if the digests of two consecutive heartbeats differ from the
     * expected one while no command is in flight, or if a start has not been reported in time.
     */
    private void checkDigest(VmSession session, long now) {
        Set<TaskEntry> tasks = mContext.state().tasksOn(session.vm());
        boolean overdue = tasks.stream().anyMatch(task -> isStartOverdue(task, now));
        boolean settled =
                tasks.stream()
                        .allMatch(task -> now - task.lastCommandNanos() > DIGEST_SETTLE_NANOS);
        boolean differs = settled && session.taskDigest() != digest(tasks);
        boolean differsTwice = differs && session.digestDiffers();
        session.setDigestDiffers(differs && !differsTwice);
        if ((overdue || differsTwice) && !session.isListRequested()) {
            session.markListRequested(now);
            session.connection().send(new TaskListRequest(mContext.epoch()));
        }
    }

    private static long digest(Set<TaskEntry> tasks) {
        return tasks.stream()
                .filter(TaskEntry::isActive)
                .mapToLong(task -> TaskDigest.of(task.id(), task.attempt()))
                .sum();
    }

    private boolean isStartOverdue(TaskEntry task, long now) {
        boolean starting =
                task.state() instanceof TaskLifecycle.Starting
                        || task.state() instanceof TaskLifecycle.Resuming;
        long limit = mContext.settings().startReportTimeout().toNanos();
        return starting && now - task.lastCommandNanos() > limit;
    }

    void taskList(VmId vm, TaskList list) {
        connectedSession(vm)
                .filter(VmSession::isListRequested)
                .ifPresent(
                        session -> {
                            long requested = session.listRequestedNanos();
                            session.markListReceived();
                            // The list may not contain attempts whose start was sent after the
                            // request.
                            reconcile(
                                    session,
                                    list.tasks(),
                                    task -> task.lastCommandNanos() < requested);
                        });
    }

    /**
     * Reconciles the attempts that a VM holds with those that the journal has placed there.
     * Attempts that the VM should hold and does not are ended, and attempts that it should not hold
     * are stopped.
     *
     * @param expected selects the tasks that the list must contain
     */
    private void reconcile(VmSession session, List<TaskHeld> held, Predicate<TaskEntry> expected) {
        Map<TaskId, TaskHeld> byTask = new HashMap<>();
        held.forEach(task -> byTask.merge(task.task(), task, SessionControl::laterAttempt));
        mContext.state().tasksOn(session.vm()).stream()
                .filter(TaskEntry::isActive)
                .filter(expected)
                .sorted(Comparator.comparing(TaskEntry::id))
                .forEach(task -> reconcile(session, task, byTask.get(task.id())));
        held.stream()
                .filter(task -> !task.state().hasEnded())
                .filter(task -> !isCurrent(session.vm(), task))
                .forEach(task -> stopStaleAttempt(session, task));
    }

    private static TaskHeld laterAttempt(TaskHeld first, TaskHeld second) {
        return first.attempt() >= second.attempt() ? first : second;
    }

    private void reconcile(VmSession session, TaskEntry task, TaskHeld held) {
        if (held != null && held.attempt() == task.attempt()) {
            task.setStartConnection(session.connection());
            report(session, task, toReport(held));
            mAttempts.resendCommand(task);
        } else if (task.isRunning() || task.state() instanceof TaskLifecycle.Checkpointing) {
            mAttempts.end(task, AttemptEnd.LOST, "the VM no longer holds the attempt");
        } else {
            mAttempts.end(task, AttemptEnd.NOT_STARTED, "the start did not reach the VM");
        }
    }

    private TaskReport toReport(TaskHeld held) {
        return new TaskReport(
                mContext.epoch(), held.task(), held.attempt(), held.state(), held.detail());
    }

    /** Returns true if the journal has placed this attempt of the task on the VM. */
    private boolean isCurrent(VmId vm, TaskHeld held) {
        return mContext.state()
                .task(held.task())
                .filter(task -> task.attempt() == held.attempt() && vm.equals(task.vm()))
                .isPresent();
    }

    private void stopStaleAttempt(VmSession session, TaskHeld held) {
        LOG.warn(
                "[control] {} holds attempt {} of {}, which is no longer current; stopping it",
                session.vm(),
                held.attempt(),
                held.task());
        session.connection().send(new StopTask(mContext.epoch(), held.task(), held.attempt()));
    }

    void report(VmId vm, TaskReport report) {
        if (mAttempts.isEnding(report.task(), report.attempt())) {
            return;
        }
        connectedSession(vm).ifPresent(session -> report(session, report));
    }

    private void report(VmSession session, TaskReport report) {
        Optional<TaskEntry> current =
                mContext.state()
                        .task(report.task())
                        .filter(task -> task.attempt() == report.attempt())
                        .filter(task -> session.vm().equals(task.vm()));
        current.ifPresentOrElse(
                task -> report(session, task, report),
                () -> handleReportOfReplaced(session, report));
    }

    /** Acknowledges the end of an attempt that is no longer current, or stops the attempt. */
    private void handleReportOfReplaced(VmSession session, TaskReport report) {
        if (report.state().hasEnded()) {
            acknowledge(session, report);
        } else {
            session.connection()
                    .send(new StopTask(mContext.epoch(), report.task(), report.attempt()));
        }
    }

    private void report(VmSession session, TaskEntry task, TaskReport report) {
        if (!report.state().hasEnded()) {
            task.apply(progressEvent(report));
            task.clearRefusals();
            acknowledge(session, report);
            return;
        }
        JournalRecord.TaskEnded record =
                mAttempts.endRecord(
                        task, AttemptEnd.valueOf(report.state().name()), report.detail());
        TaskEvent event = PartitionState.toEvent(record, task.job().spec());
        if (TaskTransitions.apply(task.state(), event) instanceof TransitionResult.Next) {
            if (report.state() == TaskReportState.NOT_STARTED) {
                task.countRefusal();
            }
            mAttempts.end(task, record, () -> acknowledge(session, report));
        } else {
            acknowledge(session, report);
        }
    }

    private static TaskEvent progressEvent(TaskReport report) {
        return report.state() == TaskReportState.RUNNING
                ? new TaskEvent.AttemptRunning(report.attempt())
                : new TaskEvent.AttemptCheckpointing(report.attempt());
    }

    private static void acknowledge(VmSession session, TaskReport report) {
        if (session.isConnected()) {
            session.connection()
                    .send(new ReportAck(report.task(), report.attempt(), report.state()));
        }
    }

    /** Handles expired sessions, and resends commands whose effect has not been reported. */
    void checkSessions() {
        long now = mContext.nowNanos();
        List.copyOf(mContext.sessions().values()).forEach(session -> checkSession(session, now));
    }

    private void checkSession(VmSession session, long now) {
        if (now > session.expiresAtNanos()) {
            mExpiry.expire(session);
            return;
        }
        if (!session.isConnected()) {
            return;
        }
        if (!session.hasRecentHeartbeat(now)) {
            mContext.scheduler().setSchedulable(session.vm(), false);
        }
        mContext.state().tasksOn(session.vm()).stream()
                .filter(task -> now - task.lastCommandNanos() > RESEND_INTERVAL_NANOS)
                .forEach(mAttempts::resendCommand);
    }
}
