package org.knapweedbank.entry.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.control.AgentControlConnection;
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
 * Control connection of an agent, with the state that the agent has reported over it. The methods
 * of {@link AgentControlConnection} may be called from any thread; all other methods are called on
 * the membership thread only.
 */
final class ConnectedAgent implements AgentControlConnection {
    private final FrameConnection mConnection;
    private final Hello mHello;
    private final Membership mMembership;
    private final Map<UpstreamKey, UpstreamState> mUpstreamStates = new LinkedHashMap<>();
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
    public void onSessionGranted(int partition, long epoch) {
        mMembership.onSessionGranted(this, partition, epoch);
    }

    @Override
    public void close(String reason) {
        mConnection.close(reason);
    }

    // Called on the membership thread only

    /** Stores the data address and configuration generation from the agent's session request. */
    void applySessionOpen(SessionOpen open) {
        mDataAddress = open.dataAddress();
        mGeneration = open.generation();
    }

    /**
     * Records that the control service granted the session.
     *
     * @param partition partition of the agent's VM
     * @param epoch epoch of the partition's owner
     */
    void markGranted(int partition, long epoch) {
        mGranted = true;
        mPartition = partition;
        mEpoch = epoch;
    }

    boolean isGranted() {
        return mGranted;
    }

    int partition() {
        return mPartition;
    }

    long epoch() {
        return mEpoch;
    }

    /**
     * Raises the configuration generation that the agent is known to have applied.
     *
     * @param generation reported generation; ignored if it is lower than the known one
     */
    void updateGeneration(long generation) {
        mGeneration = Math.max(mGeneration, generation);
    }

    /**
     * Merges the upstream states from a heartbeat. A state with a lower sequence number than the
     * known one does not replace it.
     *
     * @param states states that changed since the previous heartbeat
     * @return one record for each given state
     */
    List<UpstreamRecord> mergeUpstreams(List<UpstreamState> states) {
        for (UpstreamState state : states) {
            UpstreamKey key = new UpstreamKey(agent(), state.service(), state.address());
            mUpstreamStates.merge(
                    key,
                    state,
                    (current, received) -> received.seq() >= current.seq() ? received : current);
        }
        return states.stream().map(this::toRecord).toList();
    }

    /** Returns the records of all upstreams of this agent that have not been removed. */
    List<UpstreamRecord> liveRecords() {
        return mUpstreamStates.values().stream()
                .filter(state -> !state.gone())
                .map(this::toRecord)
                .toList();
    }

    /** Returns the agent's entry for the list of daemons. */
    DaemonStatus toDaemonStatus() {
        return new DaemonStatus(
                agent(),
                DaemonRole.AGENT,
                dataCentre(),
                incarnation(),
                mGeneration,
                true,
                mDataAddress,
                mUpstreamStates.values().stream().filter(state -> !state.gone()).toList());
    }

    private UpstreamRecord toRecord(UpstreamState state) {
        return new UpstreamRecord(agent(), incarnation(), dataCentre(), mDataAddress, state);
    }
}
