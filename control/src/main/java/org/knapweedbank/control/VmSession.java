package org.knapweedbank.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.VmDescription;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.ServiceLatency;

/**
 * Session of a worker VM from the point of view of the partition's owner. The owner assumes that
 * all leases of the VM have ended only after {@link #expiresAtNanos()}. Not thread-safe.
 */
final class VmSession {
    /** Heartbeats are sent every second, so this limit tolerates half an interval of delay. */
    private static final long HEARTBEAT_TIMEOUT_NANOS = 1_500_000_000L;

    private final VmId mVm;
    private DataCentreId mDataCentre;
    private String mRack = "";
    private Resources mCapacity = Resources.NONE;
    private AgentControlConnection mConnection;
    private long mHeartbeatSeq;
    private long mHeartbeatNanos;
    private long mTaskDigest;
    private long mExpiresAtNanos;
    private long mListRequestedNanos;
    private boolean mListRequested;
    private boolean mDigestDiffers;
    private final Map<String, Long> mLatencyMicros = new HashMap<>();
    private boolean mWorkerQueryPending;
    private int mWorkerFailures;

    /**
     * Creates the session of a VM that is not connected.
     *
     * @param expiresAtNanos monotonic time at which the leases of the VM have ended
     */
    VmSession(VmId vm, long expiresAtNanos) {
        mVm = vm;
        mExpiresAtNanos = expiresAtNanos;
    }

    void connect(
            AgentControlConnection connection,
            String rack,
            Resources capacity,
            long nowNanos,
            Duration expiry) {
        mConnection = connection;
        mDataCentre = connection.dataCentre();
        mRack = rack;
        mCapacity = capacity;
        mHeartbeatSeq = 0;
        mListRequested = false;
        mWorkerQueryPending = false;
        mWorkerFailures = 0;
        renew(nowNanos, expiry);
    }

    void disconnect() {
        mConnection = null;
    }

    /** Records a heartbeat; returns false if it is not newer than the last one. */
    boolean recordHeartbeat(Heartbeat heartbeat, long nowNanos) {
        if (heartbeat.seq() <= mHeartbeatSeq) {
            return false;
        }
        mHeartbeatSeq = heartbeat.seq();
        mHeartbeatNanos = nowNanos;
        mTaskDigest = heartbeat.taskDigest();
        return true;
    }

    /**
     * Returns true while heartbeats arrive in time. A VM without recent heartbeats gets no new
     * tasks.
     */
    boolean hasRecentHeartbeat(long nowNanos) {
        return mHeartbeatSeq > 0 && nowNanos - mHeartbeatNanos <= HEARTBEAT_TIMEOUT_NANOS;
    }

    /**
     * Extends the time until which the leases of the VM may be in force. Must be called before the
     * heartbeat is acknowledged.
     */
    void renew(long nowNanos, Duration expiry) {
        mExpiresAtNanos = Math.max(mExpiresAtNanos, nowNanos + expiry.toNanos());
    }

    void markListRequested(long nowNanos) {
        mListRequested = true;
        mListRequestedNanos = nowNanos;
    }

    void markListReceived() {
        mListRequested = false;
    }

    VmDescription description() {
        return new VmDescription(mVm, mDataCentre, mRack, mCapacity);
    }

    VmId vm() {
        return mVm;
    }

    DataCentreId dataCentre() {
        return mDataCentre;
    }

    Resources capacity() {
        return mCapacity;
    }

    AgentControlConnection connection() {
        return mConnection;
    }

    boolean isConnected() {
        return mConnection != null;
    }

    /** Returns true if the VM has connected at least once under this owner. */
    boolean hasConnected() {
        return mDataCentre != null;
    }

    long heartbeatSeq() {
        return mHeartbeatSeq;
    }

    long taskDigest() {
        return mTaskDigest;
    }

    /** Returns true if the digest of the previous heartbeat differed from the expected one. */
    boolean digestDiffers() {
        return mDigestDiffers;
    }

    void setDigestDiffers(boolean differs) {
        mDigestDiffers = differs;
    }

    void updateLatencies(List<ServiceLatency> latencies) {
        if (!latencies.isEmpty()) {
            mLatencyMicros.clear();
            latencies.forEach(
                    latency -> mLatencyMicros.put(latency.service(), latency.p99Micros()));
        }
    }

    /** Returns the last reported p99 latency of a service on the VM in microseconds, or 0. */
    long latencyMicros(String service) {
        return mLatencyMicros.getOrDefault(service, 0L);
    }

    /** Returns true while a query to the VM's worker is in flight. */
    boolean isWorkerQueryPending() {
        return mWorkerQueryPending;
    }

    void setWorkerQueryPending(boolean pending) {
        mWorkerQueryPending = pending;
    }

    /**
     * Counts a query that the worker did not answer, and returns the number of such queries since
     * the VM connected.
     */
    int countWorkerFailure() {
        mWorkerFailures++;
        return mWorkerFailures;
    }

    /** Returns the monotonic time after which all leases of the VM have ended. */
    long expiresAtNanos() {
        return mExpiresAtNanos;
    }

    boolean isListRequested() {
        return mListRequested;
    }

    long listRequestedNanos() {
        return mListRequestedNanos;
    }
}
