package org.knapweedbank.agent;

import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.wire.Message;

/** Connection to an entry that records the messages sent to it. */
final class FakeEntry implements AnswerSender {
    final List<Message> mReceived = new ArrayList<>();
    final EntryConnection mEntryConnection = new EntryConnection(this);
    boolean mWritable = true;
    boolean mSendFails;

    @Override
    public boolean send(Message message) {
        if (!mSendFails) {
            mReceived.add(message);
        }
        return !mSendFails;
    }

    @Override
    public boolean writable() {
        return mWritable;
    }

    List<String> messageTypes() {
        return mReceived.stream().map(m -> m.getClass().getSimpleName()).toList();
    }

    Message lastMessage() {
        return mReceived.getLast();
    }
}
