package org.knapweedbank.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.TaskScheduler;
import org.knapweedbank.time.Clock;
import org.knapweedbank.worker.TaskStatus;

/** What the parts of a partition controller share. Used by one thread. */
final class PartitionContext {
    private final int mPartition;
    private final long mEpoch;
    private final ControlSettings mSettings;
    private final Clock mClock;
    private final TaskScheduler mScheduler;
    private final ControllerOutput mOutput;
    private final ControlCounters mCounters;
    private final PartitionState mState = new PartitionState();
    private final Map<VmId, VmSession> mSessions = new LinkedHashMap<>();
    private SiteConfiguration mConfiguration;
    private Set<DataCentreId> mRemoved = Set.of();
    private long mConfirmedNanos = Long.MIN_VALUE;

    PartitionContext(
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

    int partition() {
        return mPartition;
    }

    long epoch() {
        return mEpoch;
    }

    ControlSettings settings() {
        return mSettings;
    }

    TaskScheduler scheduler() {
        return mScheduler;
    }

    ControlCounters counters() {
        return mCounters;
    }

    PartitionState state() {
        return mState;
    }

    Map<VmId, VmSession> sessions() {
        return mSessions;
    }

    SiteConfiguration configuration() {
        return mConfiguration;
    }

    void setConfiguration(SiteConfiguration configuration) {
        mConfiguration = configuration;
        mRemoved = configuration.removed();
    }

    Set<DataCentreId> removedDataCentres() {
        return mRemoved;
    }

    long nowNanos() {
        return mClock.monotonicNanos();
    }

    long wallMillis() {
        return mClock.wallTime().toEpochMilli();
    }

    /** Records the moment at which the view of the data centres was last confirmed. */
    void confirmView(long confirmedNanos) {
        mConfirmedNanos = Math.max(mConfirmedNanos, confirmedNanos);
    }

    /** Age of the confirmed view, or the largest value before the first confirmation. */
    long viewAgeNanos() {
        return mConfirmedNanos == Long.MIN_VALUE ? Long.MAX_VALUE : nowNanos() - mConfirmedNanos;
    }

    boolean isViewFresh() {
        return viewAgeNanos() <= mSettings.permitViewLimit().toNanos();
    }

    /** An owner that may have been replaced without knowing renews sessions for a bounded time. */
    boolean mayRenewSessions() {
        return viewAgeNanos() <= mSettings.maxStoreSilence().toNanos();
    }

    /**
     * Appends a record and applies it to the state; its effects leave the process when the record
     * is in the store. Returns false, with nothing changed, while the journal is full.
     */
    boolean append(JournalRecord record, Runnable committed) {
        boolean taken = mOutput.append(record, committed);
        if (taken) {
            mState.apply(record);
        }
        return taken;
    }

    /** Asks the worker of a VM for the attempts that it knows. */
    void listWorker(String address, Consumer<Optional<List<TaskStatus>>> reply) {
        mOutput.listWorker(address, reply);
    }

    /** Session of the VM that holds the present attempt of a task, if it is connected. */
    Optional<VmSession> connectedSession(TaskEntry task) {
        return Optional.ofNullable(task.vm()).map(mSessions::get).filter(VmSession::isConnected);
    }
}
