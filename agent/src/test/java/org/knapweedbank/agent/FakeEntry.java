package org.knapweedbank.agent;

import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.wire.Message;

/** Connection of an entry that records what it gets. */
final class FakeEntry implements AnswerSink {
    final List<Message> mReceived = new ArrayList<>();
    final EntryPeer mPeer = new EntryPeer(this);
    boolean mWritable = true;
    boolean mBroken;

    @Override
    public boolean send(Message message) {
        if (!mBroken) {
            mReceived.add(message);
        }
        return !mBroken;
    }

    @Override
    public boolean writable() {
        return mWritable;
    }

    List<String> types() {
        return mReceived.stream().map(m -> m.getClass().getSimpleName()).toList();
    }

    Message last() {
        return mReceived.getLast();
    }
}
