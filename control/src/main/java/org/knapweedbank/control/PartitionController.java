package org.knapweedbank.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.config.ServiceSettings;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.config.TeamSettings;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.InterferenceAction;
import org.knapweedbank.scheduling.SchedulingDecision;
import org.knapweedbank.scheduling.TaskScheduler;
import org.knapweedbank.scheduling.TeamQuota;
import org.knapweedbank.scheduling.UsageObservation;
import org.knapweedbank.scheduling.task.TaskEvent;
import org.knapweedbank.scheduling.task.TaskLifecycle;
import org.knapweedbank.scheduling.task.TaskTransitions;
import org.knapweedbank.scheduling.task.TransitionResult;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.CheckpointTask;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.HeartbeatAck;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.ReportAck;
import org.knapweedbank.wire.SessionGrant;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.StartPermit;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.StopTask;
import org.knapweedbank.wire.TaskDigest;
import org.knapweedbank.wire.TaskHeld;
import org.knapweedbank.wire.TaskList;
import org.knapweedbank.wire.TaskListRequest;
import org.knapweedbank.wire.TaskReport;
import org.knapweedbank.wire.TaskReportState;
import org.knapweedbank.wire.ThrottleTask;
import org.knapweedbank.wire.UsageSample;

/**
 * Decides about one partition under one ownership: sessions of its VMs, placement and start of
 * tasks, their ends, data centres that leave, and recovery. Pure: events go in through its methods,
 * effects go out through {@link ControllerOutput} and {@link AgentSession#send}; time comes from
 * the clock. Used by one thread.
 */
final class PartitionController {
    private static final Logger LOG = LogManager.getLogger(PartitionController.class);

    /** A placement whose VM stays unreachable this long is given up, as no start was sent. */
    private static final long UNSENT_LIMIT_NANOS = 5_000_000_000L;

    /** A VM whose last heartbeat is older takes no new tasks until the next one. */
    private static final long HEARTBEAT_LIMIT_NANOS = 1_500_000_000L;

    /** Time that a command may take to show in the digest of a heartbeat. */
    private static final long SETTLE_NANOS = 2_000_000_000L;

    /** Interval at which a command without a visible effect is sent again. */
    private static final long RESEND_NANOS = 10_000_000_000L;

    private final int mPartition;
    private final long mEpoch;
    private final ControlSettings mSettings;
    private final Clock mClock;
    private final TaskScheduler mScheduler;
    private final ControllerOutput mOutput;
    private final PartitionState mState = new PartitionState();
    private final Map<VmId, VmSession> mSessions = new LinkedHashMap<>();
    private final Map<TaskId, TaskEntry> mUnsent = new LinkedHashMap<>();
    private final Map<TaskId, Long> mReplacing = new HashMap<>();
    private final Map<TaskId, TaskEntry> mUnplaceable = new LinkedHashMap<>();
    private final Map<TaskId, Integer> mEnding = new HashMap<>();
    private final ControlCounters mCounters;
    private SiteConfiguration mConfiguration;
    private Set<DataCentreId> mRemoved = Set.of();
    private long mFleetCompleteNanos;
    private boolean mFleetComplete;
    private long mConfirmedNanos = Long.MIN_VALUE;

    PartitionController(
            int partition,
            long epoch,
            ControlSettings settings,
            Clock clock,
            TaskScheduler scheduler,
            ControllerOutput output,
            ControlCounters counters) {
        mPartition = partition;
        mEpoch = epoch;
        mSettings = settings;
        mClock = clock;
        mScheduler = scheduler;
        mOutput = output;
        mCounters = counters;
    }

    // Recovery

    /** Restores the state from the journal; called once, before any other event. */
    void recover(List<JournalRecord> records) {
        records.forEach(mState::apply);
        mScheduler.setFleetComplete(false);
        mFleetCompleteNanos = mClock.monotonicNanos() + mSettings.sessionTtl().toNanos();
        mState.assumeAllStarted();
        long expiresAt = mClock.monotonicNanos() + mSettings.inheritedExpiry().toNanos();
        mState.occupiedVms().forEach(vm -> mSessions.put(vm, new VmSession(vm, expiresAt)));
        mState.jobs().stream()
                .flatMap(job -> job.tasks().stream())
                .filter(TaskEntry::isPending)
                .forEach(this::enqueue);
    }

    // Configuration

    void configure(SiteConfiguration configuration) {
        mConfiguration = configuration;
        mRemoved = configuration.removed();
        mScheduler.setRemovedDataCentres(mRemoved);
        int partitions = Partitions.count(configuration);
        Map<String, TeamQuota> quotas = new LinkedHashMap<>();
        configuration.teams().forEach(team -> quotas.put(team.name(), quota(team, partitions)));
        mScheduler.setQuotas(quotas);
        submitConfiguredJobs(configuration);
        drainRemoved();
    }

    /** Records the moment at which the view of the data centres was last confirmed. */
    void confirmView(long confirmedNanos) {
        mConfirmedNanos = Math.max(mConfirmedNanos, confirmedNanos);
    }

    private static TeamQuota quota(TeamSettings team, int partitions) {
        Resources deserved = team.deserved();
        Resources share =
                new Resources(
                        divideUp(deserved.milliCpu(), partitions),
                        divideUp(deserved.memoryMb(), partitions),
                        (int) divideUp(deserved.accelerators(), partitions));
        return new TeamQuota(share, team.weight(), team.priority());
    }

    private static long divideUp(long amount, int parts) {
        return (amount + parts - 1) / parts;
    }

    private void submitConfiguredJobs(SiteConfiguration configuration) {
        List<JobSpec> own =
                configuration.jobs().stream()
                        .filter(spec -> Partitions.ofJob(configuration, spec.id()) == mPartition)
                        .toList();
        own.forEach(this::submitConfigured);
        Set<JobId> listed = own.stream().map(JobSpec::id).collect(Collectors.toSet());
        List.copyOf(mState.jobs()).stream()
                .filter(job -> job.isFromConfiguration() && job.isService())
                .filter(job -> !job.isCancelled() && !listed.contains(job.id()))
                .forEach(job -> cancel(job.id(), result -> {}));
    }

    private void submitConfigured(JobSpec spec) {
        Optional<JobEntry> known = mState.job(spec.id());
        if (known.isEmpty()) {
            submit(spec, true, result -> {});
        } else if (known.get().isService() && known.get().spec().tasks() != spec.tasks()) {
            resize(known.get(), spec.tasks());
        } else if (!known.get().spec().equals(spec)) {
            LOG.warn(
                    "[control] job {} differs from the configuration; submit it under a new id",
                    spec.id());
        }
    }

    private void resize(JobEntry job, int tasks) {
        append(
                new JournalRecord.JobResized(job.id(), tasks),
                () -> {
                    job.tasks().stream().filter(TaskEntry::isPending).forEach(this::enqueue);
                    job.tasks().stream().filter(TaskEntry::isCancelling).forEach(this::stop);
                });
        job.tasks().stream().filter(task -> task.state().ended()).forEach(this::forget);
        endUnsent(job);
    }

    // Jobs

    void submit(JobSpec spec, boolean fromConfiguration, Consumer<JobResult<JobSummary>> reply) {
        Optional<JobEntry> known = mState.job(spec.id());
        if (known.isPresent()) {
            reply.accept(repeatedSubmission(known.get(), spec));
            return;
        }
        if (mConfiguration.teams().stream().noneMatch(team -> team.name().equals(spec.team()))) {
            reply.accept(new JobResult.Refused<>("no team has the name " + spec.team()));
            return;
        }
        long now = mClock.wallTime().toEpochMilli();
        boolean taken =
                append(
                        new JournalRecord.JobSubmitted(spec, fromConfiguration, now),
                        () -> submitted(spec.id(), reply));
        if (!taken) {
            reply.accept(new JobResult.Refused<>("the journal is busy; try again later"));
        }
    }

    private JobResult<JobSummary> repeatedSubmission(JobEntry known, JobSpec spec) {
        return known.spec().equals(spec)
                ? new JobResult.Done<>(JobReports.summary(known))
                : new JobResult.Refused<>(
                        "a job with the id " + spec.id() + " and another specification exists");
    }

    private void submitted(JobId id, Consumer<JobResult<JobSummary>> reply) {
        mCounters.jobSubmitted();
        mState.job(id)
                .ifPresent(
                        job -> {
                            job.tasks().stream()
                                    .filter(TaskEntry::isPending)
                                    .forEach(this::enqueue);
                            reply.accept(new JobResult.Done<>(JobReports.summary(job)));
                        });
    }

    void cancel(JobId id, Consumer<JobResult<JobSummary>> reply) {
        Optional<JobEntry> known = mState.job(id);
        if (known.isEmpty()) {
            reply.accept(new JobResult.NotFound<>("no job has the id " + id));
            return;
        }
        JobEntry job = known.get();
        if (job.isEnded() || job.isCancelled()) {
            reply.accept(new JobResult.Done<>(JobReports.summary(job)));
            return;
        }
        long now = mClock.wallTime().toEpochMilli();
        boolean taken =
                append(
                        new JournalRecord.JobCancelled(id, now),
                        () -> {
                            job.tasks().stream()
                                    .filter(TaskEntry::isCancelling)
                                    .forEach(this::stop);
                            reply.accept(new JobResult.Done<>(JobReports.summary(job)));
                        });
        if (!taken) {
            reply.accept(new JobResult.Refused<>("the journal is busy; try again later"));
            return;
        }
        job.tasks().stream().filter(task -> task.state().ended()).forEach(this::forget);
        endUnsent(job);
    }

    /** Ends cancelled attempts whose start this owner has not sent. */
    private void endUnsent(JobEntry job) {
        job.tasks().stream()
                .filter(task -> task.isCancelling() && mUnsent.containsKey(task.id()))
                .forEach(task -> end(task, AttemptEnd.NOT_STARTED, "cancelled before the start"));
    }

    private void forget(TaskEntry task) {
        mScheduler.dequeue(task.id());
        mUnplaceable.remove(task.id());
    }

    List<JobSummary> summaries() {
        return mState.jobs().stream().map(JobReports::summary).toList();
    }

    Optional<JobDetail> detail(JobId id) {
        return mState.job(id).map(JobReports::detail);
    }

    Optional<String> explain(JobId id) {
        return mState.job(id).map(this::explain);
    }

    private String explain(JobEntry job) {
        List<TaskEntry> unsent = job.tasks().stream().filter(TaskEntry::isPlaced).toList();
        if (!unsent.isEmpty() && viewAgeNanos() > mSettings.permitViewLimit().toNanos()) {
            return "Its tasks are placed, but no start is allowed while the key-value service does"
                    + " not confirm which data centres are in service.";
        }
        return JobReports.explain(job).orElseGet(() -> mScheduler.explain(job.id()));
    }

    // Sessions

    void open(AgentSession connection, SessionOpen open) {
        long now = mClock.monotonicNanos();
        VmSession session =
                mSessions.computeIfAbsent(open.vm(), vm -> new VmSession(vm, Long.MIN_VALUE));
        if (session.isConnected() && session.connection() != connection) {
            session.connection().close("replaced by a newer connection of the same VM");
        }
        boolean first = !session.isKnown();
        Resources before = session.capacity();
        session.connect(connection, open.rack(), open.capacity(), now, mSettings.vmExpiry());
        connection.granted(mPartition, mEpoch);
        connection.send(new SessionGrant(mPartition, mEpoch, mSettings.sessionTtl().toMillis()));
        mScheduler.putVm(session.description());
        if (first) {
            mState.tasksOn(open.vm())
                    .forEach(
                            task ->
                                    mScheduler.adopt(
                                            task.pending(now),
                                            open.vm(),
                                            task.job().spec().resources()));
        }
        mScheduler.setSchedulable(open.vm(), true);
        reconcile(session, open.tasks(), task -> task.startedOn() != connection);
        if (first || !before.equals(open.capacity())) {
            retryUnplaceable();
        }
    }

    void closed(AgentSession connection) {
        mSessions.values().stream()
                .filter(session -> session.connection() == connection)
                .forEach(
                        session -> {
                            session.disconnect();
                            mScheduler.setSchedulable(session.vm(), false);
                        });
    }

    void heartbeat(VmId vm, Heartbeat heartbeat) {
        VmSession session = mSessions.get(vm);
        long now = mClock.monotonicNanos();
        if (session == null || !session.isConnected() || !session.heartbeat(heartbeat, now)) {
            return;
        }
        if (heartbeat.epoch() > mEpoch) {
            session.connection().close("the agent has accepted a higher epoch");
            return;
        }
        if (mayRenew(now)) {
            session.renew(now, mSettings.vmExpiry());
            long generation = mConfiguration == null ? 0 : mConfiguration.generation();
            session.connection().send(new HeartbeatAck(heartbeat.seq(), mEpoch, generation));
        }
        mScheduler.setSchedulable(vm, true);
        heartbeat.usage().forEach(sample -> observe(vm, sample, now));
        checkDigest(session, now);
    }

    /** An owner that may have been replaced without knowing renews sessions for a bounded time. */
    private boolean mayRenew(long now) {
        return mConfirmedNanos != Long.MIN_VALUE
                && now - mConfirmedNanos <= mSettings.maxStoreSilence().toNanos();
    }

    private void observe(VmId vm, UsageSample sample, long now) {
        mState.task(sample.task())
                .filter(task -> vm.equals(task.vm()) && task.attempt() == sample.attempt())
                .ifPresent(
                        task ->
                                mScheduler.recordUsage(
                                        new UsageObservation(
                                                sample.task(),
                                                vm,
                                                sample.used(),
                                                sample.p99Micros(),
                                                objectiveMicros(task),
                                                now - sample.ageMillis() * 1_000_000)));
    }

    private long objectiveMicros(TaskEntry task) {
        return mConfiguration
                .service(task.job().spec().taskClass())
                .map(ServiceSettings::objectiveMillis)
                .map(millis -> millis * 1_000)
                .orElse(0L);
    }

    /** Asks for the whole list when the digest differs while no command is under way. */
    private void checkDigest(VmSession session, long now) {
        Set<TaskEntry> tasks = mState.tasksOn(session.vm());
        boolean overdue = tasks.stream().anyMatch(task -> startOverdue(task, now));
        boolean settled = tasks.stream().allMatch(task -> now - task.commandNanos() > SETTLE_NANOS);
        boolean differs = settled && session.taskDigest() != digest(tasks);
        boolean twice = differs && session.digestDiffers();
        session.setDigestDiffers(differs && !twice);
        if ((overdue || twice) && !session.isListRequested()) {
            requestList(session, now);
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
        return starting && now - task.commandNanos() > mSettings.startReportLimit().toNanos();
    }

    private void requestList(VmSession session, long now) {
        session.requestList(now);
        session.connection().send(new TaskListRequest(mEpoch));
    }

    void taskList(VmId vm, TaskList list) {
        VmSession session = mSessions.get(vm);
        if (session == null || !session.isConnected() || !session.isListRequested()) {
            return;
        }
        long requested = session.listRequestedNanos();
        session.listReceived();
        // Starts sent after the request are not in the list yet.
        reconcile(session, list.tasks(), task -> task.commandNanos() < requested);
    }

    /** Compares the attempts that a VM holds with those that the journal has placed there. */
    private void reconcile(VmSession session, List<TaskHeld> held, Predicate<TaskEntry> expected) {
        Map<TaskId, TaskHeld> byTask = new HashMap<>();
        held.forEach(task -> byTask.merge(task.task(), task, PartitionController::newer));
        mState.tasksOn(session.vm()).stream()
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
            report(
                    session,
                    task,
                    new TaskReport(
                            mEpoch, held.task(), held.attempt(), held.state(), held.detail()));
            repeatCommand(session, task);
        } else if (task.isRunning() || task.state() instanceof TaskLifecycle.Checkpointing) {
            end(task, AttemptEnd.LOST, "the VM no longer holds the attempt");
        } else {
            end(task, AttemptEnd.NOT_STARTED, "the start did not reach the VM");
        }
    }

    private boolean isCurrent(VmId vm, TaskHeld held) {
        return mState.task(held.task())
                .filter(task -> task.attempt() == held.attempt() && vm.equals(task.vm()))
                .isPresent();
    }

    private void stopSurplus(VmSession session, TaskHeld held) {
        LOG.warn(
                "[control] {} holds the replaced attempt {} of {}; stopping it",
                session.vm(),
                held.attempt(),
                held.task());
        session.connection().send(new StopTask(mEpoch, held.task(), held.attempt()));
    }

    private void repeatCommand(VmSession session, TaskEntry task) {
        if (task.isCancelling() && !mReplacing.containsKey(task.id())) {
            stop(task);
        } else if (task.state() instanceof TaskLifecycle.Checkpointing) {
            send(session, task, new CheckpointTask(mEpoch, task.id(), task.attempt()));
        }
    }

    // Reports

    void report(VmId vm, TaskReport report) {
        VmSession session = mSessions.get(vm);
        if (session == null || !session.isConnected() || isEnding(report)) {
            return;
        }
        Optional<TaskEntry> task = mState.task(report.task());
        boolean current =
                task.isPresent()
                        && task.get().attempt() == report.attempt()
                        && vm.equals(task.get().vm());
        if (current) {
            report(session, task.get(), report);
        } else {
            reportOfReplaced(session, report);
        }
    }

    /**
     * True while the end of the attempt is on its way to the store. A repeated report must not be
     * acknowledged before: the agent would forget the end, and a new owner would run the task
     * again.
     */
    private boolean isEnding(TaskReport report) {
        return mEnding.getOrDefault(report.task(), 0) == report.attempt();
    }

    private void reportOfReplaced(VmSession session, TaskReport report) {
        if (report.state().ended()) {
            acknowledge(session, report);
        } else {
            session.connection().send(new StopTask(mEpoch, report.task(), report.attempt()));
        }
    }

    private void report(VmSession session, TaskEntry task, TaskReport report) {
        if (!report.state().ended()) {
            TaskEvent event =
                    report.state() == TaskReportState.RUNNING
                            ? new TaskEvent.AttemptRunning(report.attempt())
                            : new TaskEvent.AttemptCheckpointing(report.attempt());
            task.apply(event);
            acknowledge(session, report);
            return;
        }
        JournalRecord.TaskEnded record =
                ended(task, AttemptEnd.valueOf(report.state().name()), report.detail());
        TransitionResult result =
                TaskTransitions.apply(
                        task.state(), PartitionState.event(record, task.job().spec()));
        if (result instanceof TransitionResult.Next) {
            end(task, record, () -> acknowledge(session, report));
        } else {
            acknowledge(session, report);
        }
    }

    private void acknowledge(VmSession session, TaskReport report) {
        if (session.isConnected()) {
            session.connection()
                    .send(new ReportAck(report.task(), report.attempt(), report.state()));
        }
    }

    private void end(TaskEntry task, AttemptEnd end, String detail) {
        end(task, ended(task, end, detail), () -> {});
    }

    private JournalRecord.TaskEnded ended(TaskEntry task, AttemptEnd end, String detail) {
        long now = mClock.wallTime().toEpochMilli();
        return new JournalRecord.TaskEnded(task.id(), task.attempt(), end, detail, now);
    }

    /** Journals the end of an attempt. Its resources are freed once the record is in the store. */
    private void end(TaskEntry task, JournalRecord.TaskEnded record, Runnable committed) {
        VmId vm = task.vm();
        boolean taken =
                append(
                        record,
                        () -> {
                            mEnding.remove(task.id(), record.attempt());
                            mScheduler.release(task.id());
                            recordEvidence(task, vm, record.end());
                            if (task.isPending() && task.attempt() == record.attempt() + 1) {
                                enqueue(task);
                            }
                            committed.run();
                        });
        if (taken) {
            mEnding.put(task.id(), record.attempt());
            mCounters.attemptEnded(record.end());
            mUnsent.remove(task.id());
            mReplacing.remove(task.id());
            task.setStartedOn(null);
            task.setPlacementCommitted(false);
        }
    }

    private void recordEvidence(TaskEntry task, VmId vm, AttemptEnd end) {
        if (end == AttemptEnd.FINISHED) {
            mScheduler.recordSuccess(task.id(), vm);
        } else if (end == AttemptEnd.FAILED) {
            mScheduler.recordFailure(task.id(), vm);
        }
    }

    // Placement and start

    private void enqueue(TaskEntry task) {
        mScheduler.enqueue(task.pending(mClock.monotonicNanos()));
    }

    private void retryUnplaceable() {
        List<TaskEntry> tasks = List.copyOf(mUnplaceable.values());
        mUnplaceable.clear();
        tasks.stream().filter(TaskEntry::isPending).forEach(this::enqueue);
    }

    /** Makes decisions about waiting tasks, and sends the starts that may be sent. */
    void schedule() {
        for (SchedulingDecision decision : mScheduler.schedule(mSettings.decisionsPerStep())) {
            switch (decision) {
                case SchedulingDecision.Place place -> place(place);
                case SchedulingDecision.Preempt preempt ->
                        mState.task(preempt.victim())
                                .ifPresent(task -> checkpoint(task, "preempted"));
                case SchedulingDecision.NeverFits never -> neverFits(never);
            }
        }
        List.copyOf(mUnsent.values()).forEach(this::sendStart);
    }

    private void place(SchedulingDecision.Place place) {
        TaskId id = place.task().id();
        TaskEntry task = mState.task(id).orElse(null);
        boolean wanted =
                task != null && task.isPending() && task.attempt() == place.task().attempt();
        if (!wanted) {
            mScheduler.release(id);
            return;
        }
        int attempt = task.attempt();
        boolean taken =
                append(
                        new JournalRecord.TaskPlaced(id, attempt, place.vm()),
                        () -> placementCommitted(task, attempt));
        if (taken) {
            task.setCommandNanos(mClock.monotonicNanos());
            mUnsent.put(id, task);
        } else {
            mScheduler.release(id);
            mScheduler.enqueue(place.task());
        }
    }

    private void placementCommitted(TaskEntry task, int attempt) {
        if (task.isPlaced() && task.attempt() == attempt) {
            task.setPlacementCommitted(true);
            sendStart(task);
        }
    }

    private void neverFits(SchedulingDecision.NeverFits never) {
        mState.task(never.task().id())
                .filter(TaskEntry::isPending)
                .ifPresent(
                        task -> {
                            task.setDetail(never.reason());
                            mUnplaceable.put(task.id(), task);
                            LOG.warn("[control] {} cannot run: {}", task.id(), never.reason());
                        });
    }

    /** Sends the start of a placed attempt if its permit would be accepted now. */
    private void sendStart(TaskEntry task) {
        if (!task.isPlaced() || !task.isPlacementCommitted()) {
            return;
        }
        long now = mClock.monotonicNanos();
        VmSession session = mSessions.get(task.vm());
        if (session == null || !session.isConnected()) {
            withdrawAfter(task, now);
            return;
        }
        if (mRemoved.contains(session.dataCentre())) {
            end(task, AttemptEnd.NOT_STARTED, "the data centre is out of service");
            return;
        }
        boolean confirmed = viewAgeNanos() <= mSettings.permitViewLimit().toNanos();
        boolean heard =
                session.heartbeatSeq() > 0
                        && now - session.heartbeatNanos() <= HEARTBEAT_LIMIT_NANOS;
        if (confirmed && heard) {
            sendStart(session, task);
        }
    }

    private void withdrawAfter(TaskEntry task, long now) {
        if (now - task.commandNanos() > UNSENT_LIMIT_NANOS) {
            end(task, AttemptEnd.NOT_STARTED, "the VM is not connected");
        }
    }

    private void sendStart(VmSession session, TaskEntry task) {
        mUnsent.remove(task.id());
        task.apply(new TaskEvent.StartSent(task.attempt()));
        task.setStartedOn(session.connection());
        JobSpec spec = task.job().spec();
        StartPermit permit =
                new StartPermit(
                        session.heartbeatSeq(),
                        viewAgeNanos() / 1_000_000,
                        mConfiguration.generation());
        mCounters.startSent();
        send(
                session,
                task,
                new StartTask(
                        mEpoch,
                        task.id(),
                        task.attempt(),
                        spec.resources(),
                        task.job().isService(),
                        spec.command(),
                        task.state().progress().checkpoint(),
                        permit));
    }

    private long viewAgeNanos() {
        return mConfirmedNanos == Long.MIN_VALUE
                ? Long.MAX_VALUE
                : mClock.monotonicNanos() - mConfirmedNanos;
    }

    private void send(VmSession session, TaskEntry task, Message message) {
        task.setCommandNanos(mClock.monotonicNanos());
        session.connection().send(message);
    }

    // Stop, checkpoint, throttle

    private void stop(TaskEntry task) {
        connectedSession(task)
                .ifPresent(
                        session ->
                                send(
                                        session,
                                        task,
                                        new StopTask(mEpoch, task.id(), task.attempt())));
    }

    private void checkpoint(TaskEntry task, String reason) {
        TransitionResult result =
                task.apply(new TaskEvent.RequestCheckpoint(task.attempt(), reason));
        if (result instanceof TransitionResult.Next) {
            mCounters.evicted();
            connectedSession(task)
                    .ifPresent(
                            session ->
                                    send(
                                            session,
                                            task,
                                            new CheckpointTask(mEpoch, task.id(), task.attempt())));
        }
    }

    private Optional<VmSession> connectedSession(TaskEntry task) {
        return Optional.ofNullable(task.vm()).map(mSessions::get).filter(VmSession::isConnected);
    }

    /** Carries out the decisions about interference. */
    void controlInterference() {
        for (InterferenceAction action : mScheduler.controlInterference()) {
            switch (action) {
                case InterferenceAction.Throttle throttle -> throttle(throttle);
                case InterferenceAction.Evict evict ->
                        mState.task(evict.task())
                                .filter(task -> evict.vm().equals(task.vm()))
                                .ifPresent(task -> checkpoint(task, "interferes with a service"));
            }
        }
    }

    private void throttle(InterferenceAction.Throttle throttle) {
        mState.task(throttle.task())
                .filter(task -> throttle.vm().equals(task.vm()))
                .ifPresent(
                        task ->
                                connectedSession(task)
                                        .ifPresent(
                                                session ->
                                                        session.connection()
                                                                .send(
                                                                        new ThrottleTask(
                                                                                mEpoch,
                                                                                task.id(),
                                                                                task.attempt(),
                                                                                throttle
                                                                                        .share()))));
    }

    // Periodic work

    /**
     * Checks expiries, data centres that leave, and commands without effect; about once a second.
     */
    void tick() {
        long now = mClock.monotonicNanos();
        if (!mFleetComplete && now - mFleetCompleteNanos >= 0) {
            mFleetComplete = true;
            mScheduler.setFleetComplete(true);
        }
        drainRemoved();
        finishReplacements(now);
        List.copyOf(mSessions.values()).forEach(session -> check(session, now));
        retireJobs();
    }

    private void check(VmSession session, long now) {
        if (now > session.expiresAtNanos()) {
            expire(session);
            return;
        }
        if (!session.isConnected()) {
            return;
        }
        if (now - session.heartbeatNanos() > HEARTBEAT_LIMIT_NANOS) {
            mScheduler.setSchedulable(session.vm(), false);
        }
        mState.tasksOn(session.vm()).stream()
                .filter(task -> now - task.commandNanos() > RESEND_NANOS)
                .forEach(task -> repeatCommand(session, task));
    }

    /** All leases of the VM have ended, so its batch tasks run nowhere and may be placed again. */
    private void expire(VmSession session) {
        LOG.warn("[control] the leases of {} have expired", session.vm());
        mCounters.vmExpired();
        if (session.isConnected()) {
            session.connection().close("the session has expired");
            session.disconnect();
        }
        mScheduler.removeVm(session.vm());
        mState.tasksOn(session.vm()).stream()
                .sorted(Comparator.comparing(TaskEntry::id))
                .forEach(this::expireTask);
        mSessions.remove(session.vm());
    }

    private void expireTask(TaskEntry task) {
        if (!task.job().isService()) {
            end(task, AttemptEnd.LOST, "the leases of the VM have expired");
        } else if (!task.isCancelling()) {
            replace(task);
        }
    }

    /** Creates a replica with a new identity; the present one ends when its end is confirmed. */
    private void replace(TaskEntry task) {
        TaskId successor = new TaskId(task.job().id(), task.job().nextIndex());
        boolean unsent = mUnsent.containsKey(task.id());
        boolean taken =
                append(
                        new JournalRecord.TaskReplaced(task.id(), successor),
                        () -> mState.task(successor).ifPresent(this::enqueue));
        if (taken && unsent) {
            end(task, AttemptEnd.NOT_STARTED, "replaced before the start");
        }
    }

    private void drainRemoved() {
        if (mRemoved.isEmpty()) {
            return;
        }
        mSessions.values().stream()
                .filter(session -> session.isKnown() && mRemoved.contains(session.dataCentre()))
                .flatMap(session -> mState.tasksOn(session.vm()).stream())
                .sorted(Comparator.comparing(TaskEntry::id))
                .forEach(this::drain);
    }

    private void drain(TaskEntry task) {
        if (task.isPlaced()) {
            end(task, AttemptEnd.NOT_STARTED, "the data centre is out of service");
        } else if (!task.job().isService()) {
            checkpoint(task, "the data centre is out of service");
        } else if (!task.isCancelling()) {
            long deadline = mClock.monotonicNanos() + mSettings.replicaWait().toNanos();
            replace(task);
            if (task.isCancelling()) {
                mReplacing.put(task.id(), deadline);
            }
        }
    }

    private void finishReplacements(long now) {
        List<TaskEntry> due = new ArrayList<>();
        mReplacing.forEach(
                (id, deadline) ->
                        mState.task(id)
                                .filter(task -> now >= deadline || successorRuns(task))
                                .ifPresent(due::add));
        due.forEach(
                task -> {
                    mReplacing.remove(task.id());
                    stop(task);
                });
    }

    private boolean successorRuns(TaskEntry task) {
        return task.successor() != null
                && mState.task(task.successor()).filter(TaskEntry::isRunning).isPresent();
    }

    private void retireJobs() {
        long before = mClock.wallTime().minus(mSettings.retention()).toEpochMilli();
        List<JobId> ended =
                mState.jobs().stream()
                        .filter(job -> job.endedMillis() > 0 && job.endedMillis() < before)
                        .map(JobEntry::id)
                        .toList();
        ended.forEach(job -> append(new JournalRecord.JobRetired(job), () -> {}));
    }

    // Journal

    private boolean append(JournalRecord record, Runnable committed) {
        boolean taken = mOutput.append(record, committed);
        if (taken) {
            mState.apply(record);
        }
        return taken;
    }

    /** State with the effect of all records appended so far. */
    List<JournalRecord> snapshot() {
        return mState.snapshot();
    }

    int vmCount() {
        return mSessions.size();
    }
}
