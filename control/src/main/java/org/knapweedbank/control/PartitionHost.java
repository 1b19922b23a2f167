package org.knapweedbank.control;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.config.ConfigurationSource;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.VmId;
import org.knapweedbank.ring.DutyThread;
import org.knapweedbank.store.cache.PrefixView;
import org.knapweedbank.store.journal.PartitionJournal;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.store.lease.OwnershipStore;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.Redirect;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.TaskList;
import org.knapweedbank.wire.TaskReport;

/**
 * Hosts the partitions that one entry owns: takes over partitions without an owner, runs their
 * controllers on the control thread, and releases them when the entry stops or loses the ownership.
 */
public final class PartitionHost implements ControlService, JobOperations {
    private static final Logger LOG = LogManager.getLogger(PartitionHost.class);
    private static final int RING_CAPACITY = 16_384;
    private static final Duration STEP_INTERVAL = Duration.ofMillis(10);
    private static final long TICK_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final ControlSettings mSettings;
    private final EntryIdentity mIdentity;
    private final Clock mClock;
    private final ConfigurationSource mConfigurationSource;
    private final SchedulerFactory mSchedulers;
    private final WorkerTaskReader mWorkers;
    private final PartitionTakeover mTakeover;
    private final ControlCounters mCounters;
    private final DutyThread mThread;

    /** Events that must not be lost, such as results of journal and store calls. */
    private final Queue<Runnable> mCompletions = new ConcurrentLinkedQueue<>();

    private final Map<Integer, OwnedPartition> mPartitions = new HashMap<>();
    private final Map<AgentControlConnection, VmId> mSessionVms = new HashMap<>();
    private final Map<AgentControlConnection, Integer> mSessionPartitions = new HashMap<>();
    private SiteConfiguration mConfiguration;
    private long mNextTickNanos;

    /** Completes the stop once all partitions are released; null until a stop is requested. */
    private Runnable mOnStopped;

    /**
     * Creates the host without starting it; see {@link #start()}.
     *
     * @param settings durations and limits
     * @param identity identity of this entry
     * @param clock source of monotonic and wall-clock time
     * @param source source of the configuration in force
     * @param view cached view of the store below {@code /kwb/c/}
     * @param ownerships store in which entries acquire and release ownerships
     * @param journals opens the journals of partitions
     * @param schedulers creates the schedulers of partitions
     * @param workers reads the attempts of workers whose agents are unreachable
     * @param lease returns the identifier of this entry's store lease, or empty while none is held
     * @param metrics registry for the meters
     */
    public PartitionHost(
            ControlSettings settings,
            EntryIdentity identity,
            Clock clock,
            ConfigurationSource source,
            PrefixView view,
            OwnershipStore ownerships,
            JournalFactory journals,
            SchedulerFactory schedulers,
            WorkerTaskReader workers,
            Supplier<OptionalLong> lease,
            MetricRegistry metrics) {
        mSettings = settings;
        mIdentity = identity;
        mClock = clock;
        mConfigurationSource = source;
        mSchedulers = schedulers;
        mWorkers = workers;
        mTakeover =
                new PartitionTakeover(
                        settings,
                        identity,
                        clock,
                        view,
                        ownerships,
                        journals,
                        lease,
                        this::enqueueCompletion,
                        this::startPartition);
        mCounters = new ControlCounters(metrics);
        mThread = new DutyThread("control", RING_CAPACITY, this::step, STEP_INTERVAL);
    }

    /** Starts the control thread. */
    public void start() {
        mThread.start();
    }

    /**
     * Stops the host. No more tasks are placed; journal writes in flight are completed, and then
     * the partitions are released, so that other entries can take them over at once.
     *
     * @return completes when all partitions are released
     */
    public Uni<Void> stop() {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                enqueueCompletion(() -> mOnStopped = () -> emitter.complete(null)));
    }

    // Events from event loops

    @Override
    public void onSessionOpen(AgentControlConnection session, SessionOpen open) {
        enqueue(session, () -> openSession(session, open));
    }

    @Override
    public void onMessage(AgentControlConnection session, Message message) {
        enqueue(session, () -> receive(session, message));
    }

    @Override
    public void onSessionClosed(AgentControlConnection session) {
        enqueueCompletion(
                () -> {
                    Integer partition = mSessionPartitions.remove(session);
                    mSessionVms.remove(session);
                    ownedPartition(partition)
                            .ifPresent(owned -> owned.controller().closed(session));
                });
    }

    /**
     * Queues an agent's event for the control thread. If the queue is full, the connection is
     * closed; the agent reconnects, and its attempts are reconciled then.
     */
    private void enqueue(AgentControlConnection session, Runnable event) {
        if (!mThread.execute(event)) {
            session.close("the control ring is full");
        }
    }

    /**
     * Queues an event that must not be lost, even if the queue of the control thread is full. The
     * number of such events is bounded by the number of pending calls, connections and stop
     * requests that cause them.
     */
    private void enqueueCompletion(Runnable event) {
        mCompletions.add(event);
        mThread.execute(this::runCompletions);
    }

    private void runCompletions() {
        Runnable event = mCompletions.poll();
        while (event != null) {
            runSafely(event);
            event = mCompletions.poll();
        }
    }

    private static void runSafely(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            LOG.error("[control] event handler failed", e);
        }
    }

    private void openSession(AgentControlConnection session, SessionOpen open) {
        Optional<Integer> partition =
                Optional.ofNullable(mConfiguration)
                        .flatMap(
                                configuration ->
                                        Partitions.ofVm(configuration, open.region(), open.vm()));
        if (partition.isEmpty()) {
            LOG.warn("[control] region {} of {} is not configured", open.region(), open.vm());
            session.send(new Redirect("", 0));
            return;
        }
        Optional<OwnedPartition> owned = ownedPartition(partition.get());
        if (owned.isEmpty() || mOnStopped != null) {
            session.send(redirect(partition.get()));
            return;
        }
        mSessionPartitions.put(session, partition.get());
        mSessionVms.put(session, open.vm());
        owned.get().controller().open(session, open);
    }

    /** Returns a redirect to the owner of a partition, or an empty one without another owner. */
    private Redirect redirect(int partition) {
        return mTakeover
                .owner(partition)
                .filter(owner -> !owner.ownerId().equals(mIdentity.id()))
                .map(owner -> new Redirect(owner.ownerAddress(), owner.epoch()))
                .orElse(new Redirect("", 0));
    }

    private void receive(AgentControlConnection session, Message message) {
        VmId vm = mSessionVms.get(session);
        Optional<OwnedPartition> owned = ownedPartition(mSessionPartitions.get(session));
        if (vm == null || owned.isEmpty()) {
            return;
        }
        PartitionController controller = owned.get().controller();
        switch (message) {
            case Heartbeat heartbeat -> controller.heartbeat(vm, heartbeat);
            case TaskReport report -> controller.report(vm, report);
            case TaskList list -> controller.taskList(vm, list);
            default -> {}
        }
    }

    // Step of the control thread

    private void step() {
        runCompletions();
        long now = mClock.monotonicNanos();
        refreshConfiguration();
        boolean tick = now - mNextTickNanos >= 0;
        if (tick) {
            mNextTickNanos = now + TICK_INTERVAL_NANOS;
        }
        if (mOnStopped != null) {
            releaseIdlePartitions();
            return;
        }
        if (tick && mConfiguration != null) {
            checkOwnership();
            mTakeover.takeUnownedPartitions(mConfiguration, mPartitions.keySet());
        }
        List.copyOf(mPartitions.values()).forEach(owned -> step(owned, tick));
    }

    private void step(OwnedPartition owned, boolean tick) {
        PartitionController controller = owned.controller();
        controller.schedule();
        if (tick) {
            controller.tick();
            controller.controlInterference();
            owned.compactIfNeeded(mSettings.compactSegments());
        }
    }

    /**
     * Applies a newer configuration and the time of its last confirmation. The confirmation is read
     * before the configuration: read in the other order, it could confirm a newer configuration
     * than the one applied.
     */
    private void refreshConfiguration() {
        long confirmed = mConfigurationSource.confirmedNanos();
        SiteConfiguration current = mConfigurationSource.current().orElse(null);
        boolean newer =
                current != null
                        && (mConfiguration == null
                                || current.generation() > mConfiguration.generation());
        if (newer) {
            mConfiguration = current;
            mPartitions.values().forEach(owned -> owned.controller().configure(current));
        }
        if (confirmed != Long.MIN_VALUE) {
            mPartitions
                    .values()
                    .forEach(
                            owned -> owned.controller().recordConfigurationConfirmation(confirmed));
        }
    }

    // Ownership

    /** Closes the partitions for which the store names another owner or none. */
    private void checkOwnership() {
        List<OwnedPartition> lost =
                mPartitions.values().stream()
                        .filter(owned -> !mTakeover.isCurrent(owned.ownership()))
                        .toList();
        lost.forEach(owned -> closePartition(owned, "the store names no or another owner"));
    }

    /** Stops controlling a partition and closes its journal and its agents' sessions. */
    private void closePartition(OwnedPartition owned, String reason) {
        int partition = owned.ownership().partition();
        LOG.warn("[control] partition {} given up: {}", partition, reason);
        mPartitions.remove(partition, owned);
        owned.close();
        closeSessions(partition, reason);
    }

    private void closeSessions(int partition, String reason) {
        List<AgentControlConnection> sessions =
                mSessionPartitions.entrySet().stream()
                        .filter(entry -> entry.getValue() == partition)
                        .map(Map.Entry::getKey)
                        .toList();
        sessions.forEach(
                session -> {
                    mSessionPartitions.remove(session);
                    mSessionVms.remove(session);
                    session.close(reason);
                });
    }

    /** Recovers an acquired partition from its journal and starts its controller. */
    private void startPartition(
            Ownership ownership, PartitionJournal journal, List<JournalRecord> records) {
        int partition = ownership.partition();
        OwnedPartition owned =
                new OwnedPartition(
                        ownership,
                        journal,
                        this::enqueueCompletion,
                        fenced -> closePartition(fenced, "another entry has taken it"),
                        mWorkers);
        PartitionController controller =
                new PartitionController(
                        partition,
                        ownership.epoch(),
                        mSettings,
                        mClock,
                        mSchedulers.create(partition),
                        owned,
                        mCounters);
        owned.setController(controller);
        controller.recover(records);
        controller.configure(mConfiguration);
        controller.recordConfigurationConfirmation(mConfigurationSource.confirmedNanos());
        mPartitions.put(partition, owned);
        LOG.info("[control] partition {} recovered from {} records", partition, records.size());
    }

    /** Releases the partitions without journal writes in flight; called while stopping. */
    private void releaseIdlePartitions() {
        List<OwnedPartition> idle =
                mPartitions.values().stream()
                        .filter(owned -> owned.pendingAppendCount() == 0)
                        .toList();
        idle.forEach(
                owned -> {
                    closePartition(owned, "this entry stops");
                    mTakeover.release(owned.ownership());
                });
        if (mPartitions.isEmpty() && mTakeover.isIdle()) {
            Runnable onStopped = mOnStopped;
            mOnStopped = () -> {};
            onStopped.run();
        }
    }

    private Optional<OwnedPartition> ownedPartition(Integer partition) {
        return Optional.ofNullable(partition).map(mPartitions::get);
    }

    // Jobs

    @Override
    public Uni<JobResult<JobSummary>> submit(JobSpec spec) {
        return withOwner(
                spec.id(),
                (owned, reply) -> owned.controller().submit(spec, false, owned.trackReply(reply)));
    }

    @Override
    public Uni<JobResult<JobSummary>> cancel(JobId job) {
        return withOwner(
                job, (owned, reply) -> owned.controller().cancel(job, owned.trackReply(reply)));
    }

    @Override
    public Uni<JobResult<JobDetail>> show(JobId job) {
        return withOwner(
                job,
                (owned, reply) ->
                        reply.accept(doneOrNotFound(job, owned.controller().detail(job))));
    }

    @Override
    public Uni<JobResult<String>> explain(JobId job) {
        return withOwner(
                job,
                (owned, reply) ->
                        reply.accept(doneOrNotFound(job, owned.controller().explain(job))));
    }

    @Override
    public Uni<JobResult<List<JobSummary>>> list() {
        return onControlThread(
                reply ->
                        reply.accept(
                                new JobResult.Done<>(
                                        mPartitions.values().stream()
                                                .flatMap(
                                                        owned ->
                                                                owned
                                                                        .controller()
                                                                        .summaries()
                                                                        .stream())
                                                .toList())));
    }

    private static <T> JobResult<T> doneOrNotFound(JobId job, Optional<T> value) {
        return value.<JobResult<T>>map(JobResult.Done::new)
                .orElseGet(() -> new JobResult.NotFound<>("no job has the id " + job));
    }

    /**
     * Runs an operation on the control thread if this entry owns the partition of the job;
     * otherwise the result names the owner.
     */
    private <T> Uni<JobResult<T>> withOwner(
            JobId job, BiConsumer<OwnedPartition, Consumer<JobResult<T>>> action) {
        return onControlThread(
                reply -> {
                    if (mConfiguration == null) {
                        reply.accept(new JobResult.Refused<>("no configuration is known yet"));
                        return;
                    }
                    int partition = Partitions.ofJob(mConfiguration, job);
                    OwnedPartition owned = mPartitions.get(partition);
                    if (owned == null || mOnStopped != null) {
                        String owner =
                                mTakeover.owner(partition).map(Ownership::ownerId).orElse("");
                        reply.accept(new JobResult.NotOwner<>(partition, owner));
                        return;
                    }
                    action.accept(owned, reply);
                });
    }

    private <T> Uni<JobResult<T>> onControlThread(Consumer<Consumer<JobResult<T>>> action) {
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            boolean queued =
                                    mThread.execute(() -> action.accept(emitter::complete));
                            if (!queued) {
                                emitter.complete(
                                        new JobResult.Refused<>("the entry is busy; try again"));
                            }
                        });
    }
}
