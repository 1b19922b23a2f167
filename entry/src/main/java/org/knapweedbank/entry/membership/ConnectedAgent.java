package org.knapweedbank.entry.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.control.AgentSession;
import org.knapweedbank.entry.upstream.UpstreamKey;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.wire.DaemonRole;
import org.knapweedbank.wire.DaemonStatus;
import org.knapweedbank.wire.FrameConnection;
import org.knapweedbank.wire.Hello;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.UpstreamRecord;
import org.knapweedbank.wire.UpstreamState;

/**
 * Control connection of an agent. The state below the session is used on the membership thread
 * only; the methods of {@link AgentSession} may be called from any thread.
 */
final class ConnectedAgent implements AgentSession {
    private final FrameConnection mConnection;
    private final Hello mHello;
    private final Membership mMembership;
    private final Map<UpstreamKey, UpstreamState> mUpstreams = new LinkedHashMap<>();
    private String mDataAddress = "";
    private long mGeneration;
    private boolean mGranted;
    private int mPartition;
    private long mEpoch;

    ConnectedAgent(FrameConnection connection, Membership membership) {
        mConnection = connection;
        mHello = connection.hello();
        mMembership = membership;
    }

    @Override
    public DaemonId agent() {
        return mHello.daemon();
    }

    @Override
    public long incarnation() {
        return mHello.incarnation();
    }

    @Override
    public DataCentreId dataCentre() {
        return mHello.dataCentre();
    }

    @Override
    public void send(Message message) {
        mConnection.send(message);
    }

    @Override
    public void granted(int partition, long epoch) {
        mMembership.granted(this, partition, epoch);
    }

    @Override
    public void close(String reason) {
        mConnection.close(reason);
    }

    // State of the membership thread

    void opened(SessionOpen open) {
        mDataAddress = open.dataAddress();
        mGeneration = open.generation();
    }

    void grant(int partition, long epoch) {
        mGranted = true;
        mPartition = partition;
        mEpoch = epoch;
    }

    boolean granted() {
        return mGranted;
    }

    int partition() {
        return mPartition;
    }

    long epoch() {
        return mEpoch;
    }

    void generation(long generation) {
        mGeneration = Math.max(mGeneration, generation);
    }

    /**
     * Takes over the states of a heartbeat.
     *
     * @param states changed states
     * @return their records
     */
    List<UpstreamRecord> upstreams(List<UpstreamState> states) {
        for (UpstreamState state : states) {
            UpstreamKey key = new UpstreamKey(agent(), state.service(), state.address());
            mUpstreams.merge(key, state, (old, next) -> next.seq() >= old.seq() ? next : old);
        }
        return states.stream().map(this::record).toList();
    }

    /** Records of all upstreams beside the agent that have not gone. */
    List<UpstreamRecord> records() {
        return mUpstreams.values().stream()
                .filter(state -> !state.gone())
                .map(this::record)
                .toList();
    }

    DaemonStatus status() {
        return new DaemonStatus(
                agent(),
                DaemonRole.AGENT,
                dataCentre(),
                incarnation(),
                mGeneration,
                true,
                mDataAddress,
                mUpstreams.values().stream().filter(state -> !state.gone()).toList());
    }

    private UpstreamRecord record(UpstreamState state) {
        return new UpstreamRecord(agent(), incarnation(), dataCentre(), mDataAddress, state);
    }
}
