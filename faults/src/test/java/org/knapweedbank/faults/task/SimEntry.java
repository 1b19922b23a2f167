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
import org.knapweedbank.control.OwnerSeam;
import org.knapweedbank.control.PartitionController;
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
 * One incarnation of an entry: the duties of {@code PartitionHost} in single steps, over the real
 * ownership, journal and controller.
 */
final class SimEntry {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final TaskWorld mWorld;
    private final Simulation mSimulation;
    private final String mName;
    private final SimProcess mProcess;
    private final Clock mClock;
    private final StoreClient mStore;
    private final StoreOwnership mOwnerships;
    private final Map<SimLink, VmId> mVms = new HashMap<>();
    private SiteConfiguration mConfiguration;
    private OwnerSeam mOwned;
    private GroupCommitJournal mJournal;
    private boolean mAcquiring;
    private boolean mStopping;
    private long mLease;
    private int mOwnerChanges;
    private Ownership mSeenOwner;
    private long mConfirmedNanos = Long.MIN_VALUE;

    SimEntry(TaskWorld world, String name, Clock clock, StoreClient store, Duration delay) {
        mWorld = world;
        mSimulation = world.simulation();
        mName = name;
        mProcess = new SimProcess(mSimulation, name);
        mClock = clock;
        mStore = store;
        mOwnerships = new StoreOwnership(store);
        mSimulation.after(
                delay,
                () -> {
                    mProcess.every(STEP, this::step);
                    mProcess.every(SECOND, this::tick);
                });
    }

    String name() {
        return mName;
    }

    SimProcess process() {
        return mProcess;
    }

    boolean owns() {
        return mOwned != null && mProcess.alive();
    }

    long epoch() {
        return mOwned == null ? 0 : mOwned.ownership().epoch();
    }

    PartitionController controller() {
        return mOwned.controller();
    }

    void kill() {
        mProcess.kill();
        List.copyOf(mVms.keySet()).forEach(SimLink::brokenByEntry);
    }

    /** The planned stop: waits for the journal, then gives the partition up. */
    void stop() {
        mSimulation.trace(mName, "stops");
        mStopping = true;
    }

    // Steps

    private void step() {
        if (mStopping) {
            stopWhenIdle();
            return;
        }
        if (mOwned != null) {
            mJournal.tick();
        }
        if (mOwned != null) {
            mOwned.controller().schedule();
        }
    }

    private void stopWhenIdle() {
        if (mOwned != null) {
            mJournal.tick();
        }
        if (mOwned != null && mOwned.isIdle()) {
            Ownership ownership = mOwned.ownership();
            drop();
            call(mOwnerships.release(ownership), result -> {});
        }
        if (mOwned == null) {
            kill();
        }
    }

    private void tick() {
        if (mStopping) {
            keepLease();
            return;
        }
        keepLease();
        readConfiguration();
        readOwner();
        if (mOwned != null) {
            mOwned.controller().tick();
        }
    }

    private <T> void call(
            io.smallrye.mutiny.Uni<StoreResult<T>> call, Consumer<StoreResult<T>> handler) {
        call.subscribe().with(result -> mProcess.execute(() -> handler.accept(result)));
    }

    private void keepLease() {
        if (mLease == 0) {
            call(
                    mStore.grantLease(Duration.ofSeconds(5)),
                    result -> {
                        if (result instanceof StoreResult.Succeeded<Long>(Long id)) {
                            mLease = id;
                        }
                    });
        } else {
            call(
                    mStore.keepAlive(mLease),
                    result -> {
                        if (result instanceof StoreResult.Succeeded<Boolean>(Boolean held)
                                && !held) {
                            mLease = 0;
                        }
                    });
        }
    }

    private void readConfiguration() {
        long asked = mClock.monotonicNanos();
        call(
                mStore.get(SiteOperator.HEAD),
                result -> {
                    if (result instanceof StoreResult.Succeeded<KeyRange>(KeyRange range)) {
                        range.first().ifPresent(e -> configure(SiteOperator.decode(e.value())));
                        mConfirmedNanos = Math.max(mConfirmedNanos, asked);
                        if (mOwned != null) {
                            mOwned.controller().confirmView(mConfirmedNanos);
                        }
                    }
                });
    }

    private void configure(SiteConfiguration configuration) {
        if (mConfiguration != null && mConfiguration.generation() >= configuration.generation()) {
            return;
        }
        mConfiguration = configuration;
        if (mOwned != null) {
            mOwned.controller().configure(configuration);
            List.copyOf(mVms.keySet()).forEach(this::pushConfiguration);
        }
    }

    private void readOwner() {
        int reads = mOwnerChanges;
        call(
                mStore.get(StoreOwnership.ownerKey(0)),
                result -> {
                    if (result instanceof StoreResult.Succeeded<KeyRange>(KeyRange range)) {
                        Optional<Ownership> owner = range.first().flatMap(StoreOwnership::decode);
                        mSeenOwner = owner.orElse(null);
                        // A read sent before an acquisition says nothing about it.
                        if (reads == mOwnerChanges) {
                            ownerRead(owner);
                        }
                    }
                });
    }

    private void ownerRead(Optional<Ownership> owner) {
        if (mOwned != null) {
            if (owner.filter(seen -> seen.epoch() == epoch()).isEmpty()) {
                drop();
            }
        } else if (owner.isEmpty() && !mAcquiring && mLease != 0 && mConfiguration != null) {
            mAcquiring = true;
            call(mOwnerships.acquire(0, mName, mName, mLease), this::acquired);
        }
    }

    private void acquired(StoreResult<Optional<Ownership>> result) {
        if (result instanceof StoreResult.Succeeded<Optional<Ownership>>(var won)
                && won.isPresent()) {
            GroupCommitJournal journal =
                    new GroupCommitJournal(mStore, mClock, won.get(), JournalSettings.standard());
            call(journal.load(), contents -> loaded(won.get(), journal, contents));
        } else {
            mAcquiring = false;
        }
    }

    private void loaded(
            Ownership ownership,
            GroupCommitJournal journal,
            StoreResult<JournalContents> contents) {
        if (contents instanceof StoreResult.Succeeded<JournalContents>(JournalContents value)) {
            mAcquiring = false;
            mSimulation.trace(mName, "owns the partition with epoch " + ownership.epoch());
            mOwnerChanges++;
            mJournal = journal;
            mOwned =
                    new OwnerSeam(
                            ownership,
                            journal,
                            value,
                            settings(),
                            mClock,
                            mConfiguration,
                            Output::new,
                            mProcess::execute,
                            this::drop,
                            vm -> mWorld.workerList(mName, vm));
            mOwned.controller().confirmView(mConfirmedNanos);
            mWorld.owned(this, ownership.epoch());
        } else {
            journal.close();
            call(mOwnerships.release(ownership), released -> mAcquiring = false);
        }
    }

    private ControlSettings settings() {
        ControlSettings normal = ControlSettings.defaults();
        if (mWorld.mutant() != TaskMutant.PLACED_BEFORE_LEASES_END) {
            return normal;
        }
        return new ControlSettings(
                Duration.ofSeconds(3),
                normal.maxStoreSilence(),
                normal.permitViewLimit(),
                normal.startReportLimit(),
                normal.replicaWait(),
                normal.retention(),
                normal.takeoverDelay(),
                normal.compactSegments(),
                normal.decisionsPerStep());
    }

    private void drop() {
        if (mOwned == null) {
            return;
        }
        mSimulation.trace(mName, "gives the partition up");
        OwnerSeam owned = mOwned;
        mOwned = null;
        owned.close();
        List.copyOf(mVms.keySet()).forEach(link -> link.close("not the owner"));
        mVms.clear();
    }

    /** Records what is appended, and lets effects out early if a mutant says so. */
    private final class Output implements ControllerOutput {
        private final ControllerOutput mTarget;

        private Output(ControllerOutput target) {
            mTarget = target;
        }

        @Override
        public boolean append(JournalRecord record, Runnable committed) {
            mSimulation.trace(mName, "appends " + record);
            mWorld.appended(record);
            if (mWorld.mutant() != TaskMutant.EFFECTS_BEFORE_COMMIT) {
                return mTarget.append(
                        record,
                        () -> {
                            mWorld.committed(record);
                            committed.run();
                        });
            }
            boolean taken = mTarget.append(record, () -> {});
            if (taken) {
                mProcess.execute(
                        () -> mSimulation.after(Duration.ZERO, () -> mProcess.execute(committed)));
            }
            return taken;
        }

        @Override
        public void listWorker(String address, Consumer<Optional<List<TaskStatus>>> reply) {
            mTarget.listWorker(address, reply);
        }

        @Override
        public int pendingAppends() {
            return mTarget.pendingAppends();
        }
    }

    // Messages of agents

    void pushConfiguration(SimLink link) {
        if (mConfiguration != null) {
            link.send(
                    new ConfigPush(
                            mConfiguration.generation(),
                            List.copyOf(mConfiguration.removed()),
                            "{}"));
        }
    }

    void closed(SimLink link) {
        mVms.remove(link);
        if (mOwned != null) {
            mOwned.controller().closed(link);
        }
    }

    void receive(SimLink link, Message message) {
        if (message instanceof SessionOpen open) {
            open(link, open);
            return;
        }
        VmId vm = mVms.get(link);
        if (mOwned == null || vm == null) {
            return;
        }
        switch (message) {
            case Heartbeat heartbeat -> {
                mOwned.controller().heartbeat(vm, heartbeat);
                if (heartbeat.generation() < mConfiguration.generation()) {
                    pushConfiguration(link);
                }
            }
            case TaskReport report -> report(link, vm, report);
            case TaskList list -> mOwned.controller().taskList(vm, list);
            case ConfigAck ack -> {}
            default -> throw new IllegalStateException("unexpected " + message);
        }
    }

    private void open(SimLink link, SessionOpen open) {
        if (mOwned == null || mStopping) {
            boolean known = mSeenOwner != null && !mSeenOwner.ownerId().equals(mName);
            link.send(
                    known
                            ? new Redirect(mSeenOwner.ownerAddress(), mSeenOwner.epoch())
                            : new Redirect("", 0));
            return;
        }
        mVms.put(link, open.vm());
        boolean overstated = mWorld.mutant() == TaskMutant.CAPACITY_CHECK_SKIPPED;
        Resources capacity = overstated ? open.capacity().times(2) : open.capacity();
        mSimulation.trace(mName, "session of " + open.vm() + " with " + open.tasks());
        mOwned.controller()
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

    private void report(SimLink link, VmId vm, TaskReport report) {
        TaskReport passed = report;
        VmId from = vm;
        if (mWorld.mutant() == TaskMutant.ATTEMPT_CHECK_DROPPED) {
            TaskSummary current = current(report.task());
            passed =
                    new TaskReport(
                            report.epoch(),
                            report.task(),
                            current.attempt(),
                            report.state(),
                            report.detail());
            from = current.vm().isEmpty() ? vm : new VmId(current.vm());
        }
        if (mWorld.mutant() == TaskMutant.END_ACKNOWLEDGED_BEFORE_COMMIT
                && report.state().ended()) {
            link.send(new ReportAck(report.task(), report.attempt(), report.state()));
        }
        mOwned.controller().report(from, passed);
    }

    private TaskSummary current(TaskId task) {
        return mOwned.controller().detail(task.job()).orElseThrow().tasks().stream()
                .filter(summary -> summary.id().equals(task))
                .findFirst()
                .orElseThrow();
    }
}
