package org.knapweedbank.control;

import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.wire.Message;

/** Agent connection that records the messages sent by the controller. */
final class FakeAgentControlConnection implements AgentControlConnection {
    private final DaemonId mAgent;
    private final DataCentreId mDataCentre;
    private final List<Message> mSent = new ArrayList<>();
    private String mCloseReason = "";
    private long mGrantedEpoch;

    FakeAgentControlConnection(String agent, String dataCentre) {
        mAgent = new DaemonId(agent);
        mDataCentre = new DataCentreId(dataCentre);
    }

    @Override
    public DaemonId agent() {
        return mAgent;
    }

    @Override
    public long incarnation() {
        return 1;
    }

    @Override
    public DataCentreId dataCentre() {
        return mDataCentre;
    }

    @Override
    public void send(Message message) {
        mSent.add(message);
    }

    @Override
    public void onSessionGranted(int partition, long epoch) {
        mGrantedEpoch = epoch;
    }

    @Override
    public void close(String reason) {
        mCloseReason = reason;
    }

    String closeReason() {
        return mCloseReason;
    }

    long grantedEpoch() {
        return mGrantedEpoch;
    }

    <T extends Message> List<T> sent(Class<T> type) {
        return mSent.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends Message> T last(Class<T> type) {
        return sent(type).getLast();
    }

    void clearSent() {
        mSent.clear();
    }
}
