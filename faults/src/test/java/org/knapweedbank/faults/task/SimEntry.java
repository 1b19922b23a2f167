package org.knapweedbank.faults.task;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.control.ControlSettings;
import org.knapweedbank.control.ControllerOutput;
import org.knapweedbank.control.JournalRecord;
import org.knapweedbank.control.PartitionController;
import org.knapweedbank.control.PartitionTestDriver;
import org.knapweedbank.control.TaskSummary;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.standin.StoreClient;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.journal.GroupCommitJournal;
import org.knapweedbank.store.journal.JournalContents;
import org.knapweedbank.store.journal.JournalSettings;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.store.lease.StoreOwnership;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.ConfigAck;
import org.knapweedbank.wire.ConfigPush;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.Redirect;
import org.knapweedbank.wire.ReportAck;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.TaskList;
import org.knapweedbank.wire.TaskReport;
import org.knapweedbank.worker.TaskStatus;

/**
 * One incarnation of an entry. It performs the duties of {@code PartitionHost} in single steps on
 * the real ownership store, journal and controller.
 */
final class SimEntry {
    /** Interval of journal commits and scheduling. */
    private static final Duration STEP_INTERVAL = Duration.ofMillis(100);

    /** Interval of lease renewal, store reads and the controller's periodic work. */
    private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

    private final TaskCellRun mCellRun;
    private final Simulation mSimulation;
    private final String mName;
    private final SimProcess mProcess;
    private final Clock mClock;
    private final StoreClient mStore;
    private final StoreOwnership mOwnershipStore;

    /** VMs with a session, by control connection. */
    private final Map<SimLink, VmId> mVmsByLink = new HashMap<>();

    /** Newest configuration read from the store, or null. */
    private SiteConfiguration mConfiguration;

    /** The owned partition, or null. */
    private PartitionTestDriver mPartition;

    /** Journal of the owned partition. */
    private GroupCommitJournal mJournal;

    /** Whether an acquisition of the partition is in progress. */
    private boolean mAcquiring;

    /** Whether the entry performs its planned stop. */
    private boolean mStopping;

    /** Store lease that the ownership is bound to, or 0. */
    private long mLeaseId;

    /** Number of acquisitions, by which an outdated read of the owner is recognized. */
    private int mAcquisitionCount;

    /** Owner according to the latest read, or null; agents are redirected to it. */
    private Ownership mLastReadOwner;

    /** Latest time on the entry's clock up to which the configuration is known to be current. */
    private long mConfigurationReadNanos = Long.MIN_VALUE;

    SimEntry(
            TaskCellRun cellRun, String name, Clock clock, StoreClient store, Duration startDelay) {
        mCellRun = cellRun;
        mSimulation = cellRun.simulation();
        mName = name;
        mProcess = new SimProcess(mSimulation, name);
        mClock = clock;
        mStore = store;
        mOwnershipStore = new StoreOwnership(store);
        mSimulation.schedule(
                startDelay,
                () -> {
                    mProcess.scheduleRepeating(STEP_INTERVAL, this::step);
                    mProcess.scheduleRepeating(TICK_INTERVAL, this::tick);
                });
    }

    /** Returns the name that all incarnations of the entry share. */
    String name() {
        return mName;
    }

    /** Returns the process that the entry runs in. */
    SimProcess process() {
        return mProcess;
    }

    /** Returns whether the entry is alive and owns the partition as far as it knows. */
    boolean ownsPartition() {
        return mPartition != null && mProcess.isAlive();
    }

    /** Returns the epoch of the ownership, or 0 without one. */
    long epoch() {
        return mPartition == null ? 0 : mPartition.ownership().epoch();
    }

    /** Returns the controller of the owned partition. */
    PartitionController controller() {
        return mPartition.controller();
    }

    /** Ends the incarnation and its control connections. */
    void kill() {
        mProcess.kill();
        List.copyOf(mVmsByLink.keySet()).forEach(SimLink::closeByEntry);
    }

    /**
     * Begins the planned stop: the entry waits until the journal is committed, then releases the
     * partition and ends.
     */
    void stop() {
        mSimulation.trace(mName, "stops");
        mStopping = true;
    }

    // Periodic work

    /** Commits the journal and schedules tasks. */
    private void step() {
        if (mStopping) {
            stopWhenIdle();
            return;
        }
        if (mPartition != null) {
            mJournal.tick();
        }
        if (mPartition != null) {
            mPartition.controller().schedule();
        }
    }

    /** Releases the partition once no record awaits its commit, then ends the process. */
    private void stopWhenIdle() {
        if (mPartition != null) {
            mJournal.tick();
        }
        if (mPartition != null && mPartition.isIdle()) {
            Ownership ownership = mPartition.ownership();
            closePartition();
            callStore(mOwnershipStore.release(ownership), result -> {});
        }
        if (mPartition == null) {
            kill();
        }
    }

    /**
     * Renews the lease; unless the entry is stopping, also reads the store and runs the
     * controller's periodic work.
     */
    private void tick() {
        if (mStopping) {
            keepLeaseAlive();
            return;
        }
        keepLeaseAlive();
        readConfiguration();
        readOwner();
        if (mPartition != null) {
            mPartition.controller().tick();
        }
    }

    /** Passes the result of a store call to a handler that runs in the process. */
    private <T> void callStore(
            io.smallrye.mutiny.Uni<StoreResult<T>> call, Consumer<StoreResult<T>> handler) {
        call.subscribe().with(result -> mProcess.execute(() -> handler.accept(result)));
    }

    /** Renews the store lease, or requests one if there is none. */
    private void keepLeaseAlive() {
        if (mLeaseId == 0) {
            callStore(
                    mStore.grantLease(Duration.ofSeconds(5)),
                    result -> {
                        if (result instanceof StoreResult.Succeeded<Long>(Long leaseId)) {
                            mLeaseId = leaseId;
                        }
                    });
        } else {
            callStore(
                    mStore.keepAlive(mLeaseId),
                    result -> {
                        if (result instanceof StoreResult.Succeeded<Boolean>(Boolean held)
                                && !held) {
                            mLeaseId = 0;
                        }
                    });
        }
    }

    /** Reads the configuration and confirms to the controller how current it is. */
    private void readConfiguration() {
        long requestNanos = mClock.monotonicNanos();
        callStore(
                mStore.get(SiteOperator.CONFIGURATION_HEAD_KEY),
                result -> {
                    if (result instanceof StoreResult.Succeeded<KeyRange>(KeyRange range)) {
                        range.first()
                                .ifPresent(
                                        entry ->
                                                applyConfiguration(
                                                        SiteOperator.decode(entry.value())));
                        mConfigurationReadNanos = Math.max(mConfigurationReadNanos, requestNanos);
                        if (mPartition != null) {
                            mPartition
                                    .controller()
                                    .recordConfigurationConfirmation(mConfigurationReadNanos);
                        }
                    }
                });
    }

    /** Puts a newer configuration in force and pushes it to all agents. */
    private void applyConfiguration(SiteConfiguration configuration) {
        if (mConfiguration != null && mConfiguration.generation() >= configuration.generation()) {
            return;
        }
        mConfiguration = configuration;
        if (mPartition != null) {
            mPartition.controller().configure(configuration);
            List.copyOf(mVmsByLink.keySet()).forEach(this::pushConfiguration);
        }
    }

    /** Reads the owner of the partition from the store. */
    private void readOwner() {
        int acquisitionsAtRequest = mAcquisitionCount;
        callStore(
                mStore.get(StoreOwnership.ownerKey(0)),
                result -> {
                    if (result instanceof StoreResult.Succeeded<KeyRange>(KeyRange range)) {
                        Optional<Ownership> owner = range.first().flatMap(StoreOwnership::decode);
                        mLastReadOwner = owner.orElse(null);
                        // A read that was sent before the acquisition may still show the former
                        // owner.
                        if (acquisitionsAtRequest == mAcquisitionCount) {
                            handleOwner(owner);
                        }
                    }
                });
    }

    /** Closes the partition if it has another owner, or acquires it if it has none. */
    private void handleOwner(Optional<Ownership> owner) {
        if (mPartition != null) {
            if (owner.filter(current -> current.epoch() == epoch()).isEmpty()) {
                closePartition();
            }
        } else if (owner.isEmpty() && !mAcquiring && mLeaseId != 0 && mConfiguration != null) {
            mAcquiring = true;
            callStore(mOwnershipStore.acquire(0, mName, mName, mLeaseId), this::handleAcquisition);
        }
    }

    /** Loads the journal after a successful acquisition. */
    private void handleAcquisition(StoreResult<Optional<Ownership>> result) {
        if (result instanceof StoreResult.Succeeded<Optional<Ownership>>(var acquired)
                && acquired.isPresent()) {
            GroupCommitJournal journal =
                    new GroupCommitJournal(
                            mStore, mClock, acquired.get(), JournalSettings.standard());
            callStore(journal.load(), contents -> handleJournal(acquired.get(), journal, contents));
        } else {
            mAcquiring = false;
        }
    }

    /**
     * Creates the controller from the loaded journal, or releases the partition if the journal
     * could not be read.
     */
    private void handleJournal(
            Ownership ownership,
            GroupCommitJournal journal,
            StoreResult<JournalContents> contents) {
        if (contents
                instanceof
                StoreResult.Succeeded<JournalContents>(JournalContents journalContents)) {
            mAcquiring = false;
            mSimulation.trace(mName, "acquired the partition with epoch " + ownership.epoch());
            mAcquisitionCount++;
            mJournal = journal;
            mPartition =
                    new PartitionTestDriver(
                            ownership,
                            journal,
                            journalContents,
                            controlSettings(),
                            mClock,
                            mConfiguration,
                            RecordingOutput::new,
                            mProcess::execute,
                            this::closePartition,
                            vm -> mCellRun.workerList(mName, vm));
            mPartition.controller().recordConfigurationConfirmation(mConfigurationReadNanos);
            mCellRun.handleAcquisition(this, ownership.epoch());
        } else {
            journal.close();
            callStore(mOwnershipStore.release(ownership), released -> mAcquiring = false);
        }
    }

    /**
     * Returns the default settings, with a wait for the end of leases that is too short if the
     * mutant requires it.
     */
    private ControlSettings controlSettings() {
        ControlSettings defaults = ControlSettings.defaults();
        if (mCellRun.mutant() != TaskMutant.PLACED_BEFORE_LEASES_END) {
            return defaults;
        }
        return new ControlSettings(
                Duration.ofSeconds(3),
                defaults.maxTimeWithoutStore(),
                defaults.maxPermitViewAge(),
                defaults.startReportTimeout(),
                defaults.replicaDrainTimeout(),
                defaults.retention(),
                defaults.takeoverDelay(),
                defaults.compactSegments(),
                defaults.decisionsPerStep());
    }

    /** Closes the partition and all control connections without changing the store. */
    private void closePartition() {
        if (mPartition == null) {
            return;
        }
        mSimulation.trace(mName, "closes the partition");
        PartitionTestDriver closing = mPartition;
        mPartition = null;
        closing.close();
        List.copyOf(mVmsByLink.keySet()).forEach(link -> link.close("not the owner"));
        mVmsByLink.clear();
    }

    /**
     * Records appended and committed records; with {@link TaskMutant#EFFECTS_BEFORE_COMMIT} it runs
     * effects before the commit.
     */
    private final class RecordingOutput implements ControllerOutput {
        private final ControllerOutput mTarget;

        private RecordingOutput(ControllerOutput target) {
            mTarget = target;
        }

        @Override
        public boolean append(JournalRecord record, Runnable committed) {
            mSimulation.trace(mName, "appends " + record);
            mCellRun.handleAppend(record);
            if (mCellRun.mutant() != TaskMutant.EFFECTS_BEFORE_COMMIT) {
                return mTarget.append(
                        record,
                        () -> {
                            mCellRun.handleCommit(record);
                            committed.run();
                        });
            }
            boolean accepted = mTarget.append(record, () -> {});
            if (accepted) {
                mProcess.execute(
                        () ->
                                mSimulation.schedule(
                                        Duration.ZERO, () -> mProcess.execute(committed)));
            }
            return accepted;
        }

        @Override
        public void listWorker(String address, Consumer<Optional<List<TaskStatus>>> reply) {
            mTarget.listWorker(address, reply);
        }

        @Override
        public int pendingAppendCount() {
            return mTarget.pendingAppendCount();
        }
    }

    // Messages from agents

    /** Sends the configuration in force over a control connection. */
    void pushConfiguration(SimLink link) {
        if (mConfiguration != null) {
            link.send(
                    new ConfigPush(
                            mConfiguration.generation(),
                            List.copyOf(mConfiguration.dataCentresOutOfService()),
                            "{}"));
        }
    }

    /** Ends the session of a control connection that has been closed. */
    void handleClosedLink(SimLink link) {
        mVmsByLink.remove(link);
        if (mPartition != null) {
            mPartition.controller().closed(link);
        }
    }

    /** Handles a message of an agent. Messages without a session are ignored. */
    void receive(SimLink link, Message message) {
        if (message instanceof SessionOpen open) {
            openSession(link, open);
            return;
        }
        VmId vm = mVmsByLink.get(link);
        if (mPartition == null || vm == null) {
            return;
        }
        switch (message) {
            case Heartbeat heartbeat -> {
                mPartition.controller().heartbeat(vm, heartbeat);
                if (heartbeat.generation() < mConfiguration.generation()) {
                    pushConfiguration(link);
                }
            }
            case TaskReport report -> handleReport(link, vm, report);
            case TaskList list -> mPartition.controller().taskList(vm, list);
            case ConfigAck ack -> {}
            default -> throw new IllegalStateException("unexpected message " + message);
        }
    }

    /**
     * Opens a session, or redirects the agent if the entry does not own the partition or is
     * stopping.
     */
    private void openSession(SimLink link, SessionOpen open) {
        if (mPartition == null || mStopping) {
            boolean redirects = mLastReadOwner != null && !mLastReadOwner.ownerId().equals(mName);
            link.send(
                    redirects
                            ? new Redirect(mLastReadOwner.ownerAddress(), mLastReadOwner.epoch())
                            : new Redirect("", 0));
            return;
        }
        mVmsByLink.put(link, open.vm());
        boolean doublesCapacity = mCellRun.mutant() == TaskMutant.CAPACITY_CHECK_SKIPPED;
        Resources capacity = doublesCapacity ? open.capacity().times(2) : open.capacity();
        mSimulation.trace(
                mName, "opens a session for " + open.vm() + " with tasks " + open.tasks());
        mPartition
                .controller()
                .open(
                        link,
                        new SessionOpen(
                                open.vm(),
                                open.rack(),
                                open.region(),
                                capacity,
                                open.dataAddress(),
                                open.generation(),
                                open.tasks(),
                                open.workerAddress()));
    }

    /** Passes a task report to the controller, altered if the mutant requires it. */
    private void handleReport(SimLink link, VmId vm, TaskReport report) {
        TaskReport delivered = report;
        VmId reportingVm = vm;
        boolean jobKnown = mPartition.controller().detail(report.task().job()).isPresent();
        if (mCellRun.mutant() == TaskMutant.ATTEMPT_CHECK_DROPPED && jobKnown) {
            TaskSummary current = currentAttempt(report.task());
            delivered =
                    new TaskReport(
                            report.epoch(),
                            report.task(),
                            current.attempt(),
                            report.state(),
                            report.detail());
            reportingVm = current.vm().isEmpty() ? vm : new VmId(current.vm());
        }
        if (mCellRun.mutant() == TaskMutant.END_ACKNOWLEDGED_BEFORE_COMMIT
                && report.state().hasEnded()) {
            link.send(new ReportAck(report.task(), report.attempt(), report.state()));
        }
        mPartition.controller().report(reportingVm, delivered);
    }

    /** Returns the controller's summary of a task, which names the current attempt. */
    private TaskSummary currentAttempt(TaskId task) {
        return mPartition.controller().detail(task.job()).orElseThrow().tasks().stream()
                .filter(summary -> summary.id().equals(task))
                .findFirst()
                .orElseThrow();
    }
}
