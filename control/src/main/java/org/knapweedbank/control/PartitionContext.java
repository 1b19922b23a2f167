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

/**
 * State and services that the components of a partition controller share. Not thread-safe; used on
 * the control thread only.
 */
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
    private Set<DataCentreId> mRemovedDataCentres = Set.of();
    private long mViewConfirmedNanos = Long.MIN_VALUE;

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
        mRemovedDataCentres = configuration.dataCentresOutOfService();
    }

    Set<DataCentreId> removedDataCentres() {
        return mRemovedDataCentres;
    }

    long nowNanos() {
        return mClock.monotonicNanos();
    }

    long wallMillis() {
        return mClock.wallTime().toEpochMilli();
    }

    /**
     * Records the monotonic time as of which the store confirmed the configuration of the data
     * centres; an older confirmation has no effect.
     */
    void recordConfigurationConfirmation(long confirmedNanos) {
        mViewConfirmedNanos = Math.max(mViewConfirmedNanos, confirmedNanos);
    }

    /**
     * Returns the time since the last confirmation of the configuration, or {@code Long.MAX_VALUE}
     * before the first confirmation.
     */
    long viewAgeNanos() {
        return mViewConfirmedNanos == Long.MIN_VALUE
                ? Long.MAX_VALUE
                : nowNanos() - mViewConfirmedNanos;
    }

    /** Returns true if the confirmation is recent enough for issuing start permits. */
    boolean isViewFresh() {
        return viewAgeNanos() <= mSettings.maxPermitViewAge().toNanos();
    }

    /**
     * Returns true if this owner may grant and renew sessions. An owner without contact to the
     * store may have been replaced without knowing it, so it renews sessions for a bounded time
     * only.
     */
    boolean mayRenewSessions() {
        return viewAgeNanos() <= mSettings.maxTimeWithoutStore().toNanos();
    }

    /**
     * Appends a record to the journal and applies it to the state at once. Effects that leave the
     * process belong in {@code onCommitted}, which runs once the record is in the store.
     *
     * @return false if the journal is full; nothing has changed then
     */
    boolean append(JournalRecord record, Runnable onCommitted) {
        boolean accepted = mOutput.append(record, onCommitted);
        if (accepted) {
            mState.apply(record);
        }
        return accepted;
    }

    /**
     * Asks a worker for the attempts that it knows; the reply is empty if the worker gave no
     * answer.
     */
    void listWorker(String address, Consumer<Optional<List<TaskStatus>>> reply) {
        mOutput.listWorker(address, reply);
    }

    /**
     * Returns the session of the VM that holds the current attempt of a task, if the VM is
     * connected.
     */
    Optional<VmSession> connectedSession(TaskEntry task) {
        return Optional.ofNullable(task.vm()).map(mSessions::get).filter(VmSession::isConnected);
    }
}
