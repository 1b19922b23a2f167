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
 * Session of one worker VM as its partition's owner sees it. The owner assumes the end of all
 * leases of the VM only at {@link #expiresAtNanos()}.
 */
final class VmSession {
    /** Heartbeats are sent every second. */
    private static final long HEARTBEAT_LIMIT_NANOS = 1_500_000_000L;

    private final VmId mVm;
    private DataCentreId mDataCentre;
    private String mRack = "";
    private Resources mCapacity = Resources.NONE;
    private AgentSession mConnection;
    private long mHeartbeatSeq;
    private long mHeartbeatNanos;
    private long mTaskDigest;
    private long mExpiresAtNanos;
    private long mListRequestedNanos;
    private boolean mListRequested;
    private boolean mDigestDiffers;
    private final Map<String, Long> mLatencies = new HashMap<>();
    private boolean mWorkerAsked;
    private int mWorkerFailures;

    /** Creates the session of a VM that has not been heard of since the takeover. */
    VmSession(VmId vm, long expiresAtNanos) {
        mVm = vm;
        mExpiresAtNanos = expiresAtNanos;
    }

    void connect(
            AgentSession connection,
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
        mWorkerAsked = false;
        mWorkerFailures = 0;
        renew(nowNanos, expiry);
    }

    void disconnect() {
        mConnection = null;
    }

    /** Records a heartbeat; false if it is older than the last one. */
    boolean heartbeat(Heartbeat heartbeat, long nowNanos) {
        if (heartbeat.seq() <= mHeartbeatSeq) {
            return false;
        }
        mHeartbeatSeq = heartbeat.seq();
        mHeartbeatNanos = nowNanos;
        mTaskDigest = heartbeat.taskDigest();
        return true;
    }

    /** True while heartbeats arrive; a VM that is not heard of takes no new tasks. */
    boolean isHeard(long nowNanos) {
        return mHeartbeatSeq > 0 && nowNanos - mHeartbeatNanos <= HEARTBEAT_LIMIT_NANOS;
    }

    /** Extends the assumed end of the leases; called before the acknowledgement is sent. */
    void renew(long nowNanos, Duration expiry) {
        mExpiresAtNanos = Math.max(mExpiresAtNanos, nowNanos + expiry.toNanos());
    }

    void requestList(long nowNanos) {
        mListRequested = true;
        mListRequestedNanos = nowNanos;
    }

    void listReceived() {
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

    AgentSession connection() {
        return mConnection;
    }

    boolean isConnected() {
        return mConnection != null;
    }

    /** True once a session was opened under this owner. */
    boolean isKnown() {
        return mDataCentre != null;
    }

    long heartbeatSeq() {
        return mHeartbeatSeq;
    }

    long taskDigest() {
        return mTaskDigest;
    }

    /** True if the digest of the last heartbeat differed. */
    boolean digestDiffers() {
        return mDigestDiffers;
    }

    void setDigestDiffers(boolean differs) {
        mDigestDiffers = differs;
    }

    void setLatencies(List<ServiceLatency> latencies) {
        if (!latencies.isEmpty()) {
            mLatencies.clear();
            latencies.forEach(latency -> mLatencies.put(latency.service(), latency.p99Micros()));
        }
    }

    /** Last p99 latency of a service on the VM in microseconds, or 0. */
    long latencyMicros(String service) {
        return mLatencies.getOrDefault(service, 0L);
    }

    /** True while an answer of the VM's worker is waited for. */
    boolean isWorkerAsked() {
        return mWorkerAsked;
    }

    void setWorkerAsked(boolean asked) {
        mWorkerAsked = asked;
    }

    /** Counts a call to the worker without an answer and returns their number. */
    int countWorkerFailure() {
        mWorkerFailures++;
        return mWorkerFailures;
    }

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
