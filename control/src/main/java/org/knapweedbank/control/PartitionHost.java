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
 * Owns partitions on behalf of one entry: takes those without an owner, runs their controllers on
 * the thread of the control duty, and gives them up when the entry stops or is replaced.
 */
public final class PartitionHost implements ControlService, JobOperations {
    private static final Logger LOG = LogManager.getLogger(PartitionHost.class);
    private static final int RING_CAPACITY = 16_384;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final long TICK_NANOS = Duration.ofSeconds(1).toNanos();

    private final ControlSettings mSettings;
    private final EntryIdentity mIdentity;
    private final Clock mClock;
    private final ConfigurationSource mSource;
    private final SchedulerFactory mSchedulers;
    private final WorkerLists mWorkers;
    private final PartitionTakeover mTakeover;
    private final ControlCounters mCounters;
    private final DutyThread mThread;
    private final Queue<Runnable> mCompletions = new ConcurrentLinkedQueue<>();
    private final Map<Integer, OwnedPartition> mPartitions = new HashMap<>();
    private final Map<AgentSession, VmId> mVms = new HashMap<>();
    private final Map<AgentSession, Integer> mSessionPartitions = new HashMap<>();
    private SiteConfiguration mConfiguration;
    private long mNextTick;
    private Runnable mStopped;

    /**
     * Creates the host; {@link #start()} starts it.
     *
     * @param settings times and limits
     * @param identity this entry
     * @param clock the clock
     * @param source configuration in force
     * @param view view of {@code /kwb/c/}
     * @param ownerships decides about owners
     * @param journals opens journals
     * @param schedulers creates task schedulers
     * @param workers reads the lists of workers whose agents are gone
     * @param lease store lease of this entry while it is held
     * @param metrics receives the counters
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
            WorkerLists workers,
            Supplier<OptionalLong> lease,
            MetricRegistry metrics) {
        mSettings = settings;
        mIdentity = identity;
        mClock = clock;
        mSource = source;
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
                        this::complete,
                        this::run);
        mCounters = new ControlCounters(metrics);
        mThread = new DutyThread("control", RING_CAPACITY, this::step, STEP);
    }

    /** Starts the thread of the control duty. */
    public void start() {
        mThread.start();
    }

    /**
     * Stops: nothing more is placed, journal writes under way are finished, and the partitions are
     * given up, so that other entries can take them at once.
     *
     * @return completes when all partitions are given up
     */
    public Uni<Void> stop() {
        return Uni.createFrom()
                .emitter(emitter -> complete(() -> mStopped = () -> emitter.complete(null)));
    }

    // Events from event loops

    @Override
    public void opened(AgentSession session, SessionOpen open) {
        enqueue(session, () -> open(session, open));
    }

    @Override
    public void received(AgentSession session, Message message) {
        enqueue(session, () -> receive(session, message));
    }

    @Override
    public void closed(AgentSession session) {
        complete(
                () -> {
                    Integer partition = mSessionPartitions.remove(session);
                    mVms.remove(session);
                    owned(partition).ifPresent(owned -> owned.controller().closed(session));
                });
    }

    /** An agent whose message finds the ring full reconnects and is reconciled then. */
    private void enqueue(AgentSession session, Runnable event) {
        if (!mThread.execute(event)) {
            session.close("the control ring is full");
        }
    }

    /** Queues an event that must not be lost; their number is bounded by what they answer. */
    private void complete(Runnable event) {
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
            LOG.error("[control] event failed", e);
        }
    }

    private void open(AgentSession session, SessionOpen open) {
        Optional<Integer> partition =
                Optional.ofNullable(mConfiguration)
                        .flatMap(known -> Partitions.ofVm(known, open.region(), open.vm()));
        if (partition.isEmpty()) {
            LOG.warn("[control] region {} of {} is not configured", open.region(), open.vm());
            session.send(new Redirect("", 0));
            return;
        }
        Optional<OwnedPartition> owned = owned(partition.get());
        if (owned.isEmpty() || mStopped != null) {
            session.send(redirect(partition.get()));
            return;
        }
        mSessionPartitions.put(session, partition.get());
        mVms.put(session, open.vm());
        owned.get().controller().open(session, open);
    }

    private Redirect redirect(int partition) {
        return mTakeover
                .owner(partition)
                .filter(owner -> !owner.ownerId().equals(mIdentity.id()))
                .map(owner -> new Redirect(owner.ownerAddress(), owner.epoch()))
                .orElse(new Redirect("", 0));
    }

    private void receive(AgentSession session, Message message) {
        VmId vm = mVms.get(session);
        Optional<OwnedPartition> owned = owned(mSessionPartitions.get(session));
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
        boolean tick = now - mNextTick >= 0;
        if (tick) {
            mNextTick = now + TICK_NANOS;
        }
        if (mStopped != null) {
            giveUpIdle();
            return;
        }
        if (tick && mConfiguration != null) {
            checkOwnership();
            mTakeover.takeOwnerless(mConfiguration, mPartitions.keySet());
        }
        List.copyOf(mPartitions.values()).forEach(owned -> step(owned, tick));
    }

    private void step(OwnedPartition owned, boolean tick) {
        PartitionController controller = owned.controller();
        controller.schedule();
        if (tick) {
            controller.tick();
            controller.controlInterference();
            owned.compactAfter(mSettings.compactSegments());
        }
    }

    /** The confirmation is read first, so that it never covers a newer view than the one in use. */
    private void refreshConfiguration() {
        long confirmed = mSource.confirmedNanos();
        SiteConfiguration current = mSource.current().orElse(null);
        boolean newer =
                current != null
                        && (mConfiguration == null
                                || current.generation() > mConfiguration.generation());
        if (newer) {
            mConfiguration = current;
            mPartitions.values().forEach(owned -> owned.controller().configure(current));
        }
        if (confirmed != Long.MIN_VALUE) {
            mPartitions.values().forEach(owned -> owned.controller().confirmView(confirmed));
        }
    }

    // Ownership

    /** Gives up partitions that the store says belong to nobody or to another entry. */
    private void checkOwnership() {
        List<OwnedPartition> lost =
                mPartitions.values().stream()
                        .filter(owned -> !mTakeover.isCurrent(owned.ownership()))
                        .toList();
        lost.forEach(owned -> drop(owned, "the store names no or another owner"));
    }

    private void drop(OwnedPartition owned, String reason) {
        int partition = owned.ownership().partition();
        LOG.warn("[control] partition {} given up: {}", partition, reason);
        mPartitions.remove(partition, owned);
        owned.close();
        closeSessions(partition, reason);
    }

    private void closeSessions(int partition, String reason) {
        List<AgentSession> sessions =
                mSessionPartitions.entrySet().stream()
                        .filter(entry -> entry.getValue() == partition)
                        .map(Map.Entry::getKey)
                        .toList();
        sessions.forEach(
                session -> {
                    mSessionPartitions.remove(session);
                    mVms.remove(session);
                    session.close(reason);
                });
    }

    private void run(Ownership ownership, PartitionJournal journal, List<JournalRecord> records) {
        int partition = ownership.partition();
        OwnedPartition owned =
                new OwnedPartition(
                        ownership,
                        journal,
                        this::complete,
                        fenced -> drop(fenced, "another entry has taken it"),
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
        controller.confirmView(mSource.confirmedNanos());
        mPartitions.put(partition, owned);
        LOG.info("[control] partition {} recovered from {} records", partition, records.size());
    }

    private void giveUpIdle() {
        List<OwnedPartition> idle =
                mPartitions.values().stream().filter(owned -> owned.pendingAppends() == 0).toList();
        idle.forEach(
                owned -> {
                    drop(owned, "this entry stops");
                    mTakeover.release(owned.ownership());
                });
        if (mPartitions.isEmpty() && mTakeover.isIdle()) {
            Runnable stopped = mStopped;
            mStopped = () -> {};
            stopped.run();
        }
    }

    private Optional<OwnedPartition> owned(Integer partition) {
        return Optional.ofNullable(partition).map(mPartitions::get);
    }

    // Jobs

    @Override
    public Uni<JobResult<JobSummary>> submit(JobSpec spec) {
        return withOwner(
                spec.id(),
                (owned, reply) -> owned.controller().submit(spec, false, owned.track(reply)));
    }

    @Override
    public Uni<JobResult<JobSummary>> cancel(JobId job) {
        return withOwner(job, (owned, reply) -> owned.controller().cancel(job, owned.track(reply)));
    }

    @Override
    public Uni<JobResult<JobDetail>> show(JobId job) {
        return withOwner(
                job, (owned, reply) -> reply.accept(found(job, owned.controller().detail(job))));
    }

    @Override
    public Uni<JobResult<String>> explain(JobId job) {
        return withOwner(
                job, (owned, reply) -> reply.accept(found(job, owned.controller().explain(job))));
    }

    @Override
    public Uni<JobResult<List<JobSummary>>> list() {
        return onThread(
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

    private static <T> JobResult<T> found(JobId job, Optional<T> value) {
        return value.<JobResult<T>>map(JobResult.Done::new)
                .orElseGet(() -> new JobResult.NotFound<>("no job has the id " + job));
    }

    private <T> Uni<JobResult<T>> withOwner(
            JobId job, BiConsumer<OwnedPartition, Consumer<JobResult<T>>> action) {
        return onThread(
                reply -> {
                    if (mConfiguration == null) {
                        reply.accept(new JobResult.Refused<>("no configuration is known yet"));
                        return;
                    }
                    int partition = Partitions.ofJob(mConfiguration, job);
                    OwnedPartition owned = mPartitions.get(partition);
                    if (owned == null || mStopped != null) {
                        String owner =
                                mTakeover.owner(partition).map(Ownership::ownerId).orElse("");
                        reply.accept(new JobResult.NotOwner<>(partition, owner));
                        return;
                    }
                    action.accept(owned, reply);
                });
    }

    private <T> Uni<JobResult<T>> onThread(Consumer<Consumer<JobResult<T>>> action) {
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
