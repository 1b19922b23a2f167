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

/** Sessions of VMs: heartbeats, reports, reconciliation of held attempts, and expiry. */
final class SessionControl {
    private static final Logger LOG = LogManager.getLogger(SessionControl.class);

    /** Time that a command may take to show in the digest of a heartbeat. */
    private static final long SETTLE_NANOS = 2_000_000_000L;

    /** Interval at which a command without a visible effect is sent again. */
    private static final long RESEND_NANOS = 10_000_000_000L;

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

    /** Creates the sessions of VMs that hold tasks after a takeover. */
    void inherit() {
        long wait = mContext.settings().inheritedExpiry().toNanos();
        long expiresAt = mContext.nowNanos() + wait;
        mContext.state()
                .occupiedVms()
                .forEach(vm -> mContext.sessions().put(vm, new VmSession(vm, expiresAt)));
    }

    void open(AgentSession connection, SessionOpen open) {
        if (!mContext.mayRenewSessions()) {
            // A grant renews the leases like a heartbeat, and a later owner may count on their end.
            LOG.warn("[control] no session for {}: the store is silent", open.vm());
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
        boolean first = !session.isKnown();
        Resources before = session.capacity();
        session.connect(
                connection, open.rack(), open.capacity(), now, mContext.settings().vmExpiry());
        connection.granted(mContext.partition(), mContext.epoch());
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
        reconcile(session, open.tasks(), task -> task.startedOn() != connection);
        if (first || !before.equals(open.capacity())) {
            mStarter.retryUnplaceable();
        }
    }

    private void adopt(TaskEntry task, VmId vm) {
        mContext.scheduler().adopt(task.pending(mContext.nowNanos()), vm, task.reserved());
    }

    void closed(AgentSession connection) {
        mContext.sessions().values().stream()
                .filter(session -> session.connection() == connection)
                .forEach(
                        session -> {
                            session.disconnect();
                            mContext.scheduler().setSchedulable(session.vm(), false);
                        });
    }

    private Optional<VmSession> connected(VmId vm) {
        return Optional.ofNullable(mContext.sessions().get(vm)).filter(VmSession::isConnected);
    }

    void heartbeat(VmId vm, Heartbeat heartbeat) {
        long now = mContext.nowNanos();
        connected(vm)
                .filter(session -> session.heartbeat(heartbeat, now))
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
        session.setLatencies(heartbeat.latencies());
        heartbeat.usage().forEach(sample -> observe(session, sample, now));
        checkDigest(session, now);
    }

    private void observe(VmSession session, UsageSample sample, long now) {
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

    /** A service whose task class is its name is measured by the agent of the VM. */
    private static long p99Micros(TaskEntry task, VmSession session, UsageSample sample) {
        boolean measured = sample.p99Micros() > 0 || !task.job().isService();
        return measured ? sample.p99Micros() : session.latencyMicros(task.job().spec().taskClass());
    }

    private long objectiveMicros(TaskEntry task) {
        return mContext.configuration()
                .service(task.job().spec().taskClass())
                .map(ServiceSettings::objectiveMillis)
                .map(millis -> millis * 1_000)
                .orElse(0L);
    }

    /**
     * Asks for the whole list when two digests in a row differ while no command is under way, or
     * when a start has not been reported in time.
     */
    private void checkDigest(VmSession session, long now) {
        Set<TaskEntry> tasks = mContext.state().tasksOn(session.vm());
        boolean overdue = tasks.stream().anyMatch(task -> startOverdue(task, now));
        boolean settled = tasks.stream().allMatch(task -> now - task.commandNanos() > SETTLE_NANOS);
        boolean differs = settled && session.taskDigest() != digest(tasks);
        boolean twice = differs && session.digestDiffers();
        session.setDigestDiffers(differs && !twice);
        if ((overdue || twice) && !session.isListRequested()) {
            session.requestList(now);
            session.connection().send(new TaskListRequest(mContext.epoch()));
        }
    }

    private static long digest(Set<TaskEntry> tasks) {
        return tasks.stream()
                .filter(TaskEntry::isActive)
                .mapToLong(task -> TaskDigest.of(task.id(), task.attempt()))
                .sum();
    }

    private boolean startOverdue(TaskEntry task, long now) {
        boolean starting =
                task.state() instanceof TaskLifecycle.Starting
                        || task.state() instanceof TaskLifecycle.Resuming;
        long limit = mContext.settings().startReportLimit().toNanos();
        return starting && now - task.commandNanos() > limit;
    }

    void taskList(VmId vm, TaskList list) {
        connected(vm)
                .filter(VmSession::isListRequested)
                .ifPresent(
                        session -> {
                            long requested = session.listRequestedNanos();
                            session.listReceived();
                            // Starts sent after the request are not in the list yet.
                            reconcile(
                                    session, list.tasks(), task -> task.commandNanos() < requested);
                        });
    }

    /** Compares the attempts that a VM holds with those that the journal has placed there. */
    private void reconcile(VmSession session, List<TaskHeld> held, Predicate<TaskEntry> expected) {
        Map<TaskId, TaskHeld> byTask = new HashMap<>();
        held.forEach(task -> byTask.merge(task.task(), task, SessionControl::newer));
        mContext.state().tasksOn(session.vm()).stream()
                .filter(TaskEntry::isActive)
                .filter(expected)
                .sorted(Comparator.comparing(TaskEntry::id))
                .forEach(task -> reconcile(session, task, byTask.get(task.id())));
        held.stream()
                .filter(task -> !task.state().ended())
                .filter(task -> !isCurrent(session.vm(), task))
                .forEach(task -> stopSurplus(session, task));
    }

    private static TaskHeld newer(TaskHeld left, TaskHeld right) {
        return left.attempt() >= right.attempt() ? left : right;
    }

    private void reconcile(VmSession session, TaskEntry task, TaskHeld held) {
        if (held != null && held.attempt() == task.attempt()) {
            task.setStartedOn(session.connection());
            report(session, task, reportOf(held));
            mAttempts.repeatCommand(task);
        } else if (task.isRunning() || task.state() instanceof TaskLifecycle.Checkpointing) {
            mAttempts.end(task, AttemptEnd.LOST, "the VM no longer holds the attempt");
        } else {
            mAttempts.end(task, AttemptEnd.NOT_STARTED, "the start did not reach the VM");
        }
    }

    private TaskReport reportOf(TaskHeld held) {
        return new TaskReport(
                mContext.epoch(), held.task(), held.attempt(), held.state(), held.detail());
    }

    private boolean isCurrent(VmId vm, TaskHeld held) {
        return mContext.state()
                .task(held.task())
                .filter(task -> task.attempt() == held.attempt() && vm.equals(task.vm()))
                .isPresent();
    }

    private void stopSurplus(VmSession session, TaskHeld held) {
        LOG.warn(
                "[control] {} holds the replaced attempt {} of {}; stopping it",
                session.vm(),
                held.attempt(),
                held.task());
        session.connection().send(new StopTask(mContext.epoch(), held.task(), held.attempt()));
    }

    void report(VmId vm, TaskReport report) {
        if (mAttempts.isEnding(report.task(), report.attempt())) {
            return;
        }
        connected(vm).ifPresent(session -> report(session, report));
    }

    private void report(VmSession session, TaskReport report) {
        Optional<TaskEntry> current =
                mContext.state()
                        .task(report.task())
                        .filter(task -> task.attempt() == report.attempt())
                        .filter(task -> session.vm().equals(task.vm()));
        current.ifPresentOrElse(
                task -> report(session, task, report), () -> reportOfReplaced(session, report));
    }

    private void reportOfReplaced(VmSession session, TaskReport report) {
        if (report.state().ended()) {
            acknowledge(session, report);
        } else {
            session.connection()
                    .send(new StopTask(mContext.epoch(), report.task(), report.attempt()));
        }
    }

    private void report(VmSession session, TaskEntry task, TaskReport report) {
        if (!report.state().ended()) {
            task.apply(progressEvent(report));
            task.clearRefusals();
            acknowledge(session, report);
            return;
        }
        JournalRecord.TaskEnded record =
                mAttempts.ended(task, AttemptEnd.valueOf(report.state().name()), report.detail());
        TaskEvent event = PartitionState.event(record, task.job().spec());
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

    /** Expires sessions, and repeats commands that have had no effect. */
    void check() {
        long now = mContext.nowNanos();
        List.copyOf(mContext.sessions().values()).forEach(session -> check(session, now));
    }

    private void check(VmSession session, long now) {
        if (now > session.expiresAtNanos()) {
            mExpiry.expire(session);
            return;
        }
        if (!session.isConnected()) {
            return;
        }
        if (!session.isHeard(now)) {
            mContext.scheduler().setSchedulable(session.vm(), false);
        }
        mContext.state().tasksOn(session.vm()).stream()
                .filter(task -> now - task.commandNanos() > RESEND_NANOS)
                .forEach(mAttempts::repeatCommand);
    }
}
