package org.knapweedbank.node.link;

import java.util.ArrayList;
import java.util.List;

/** Link that records sent messages and notifies its listener when it is closed. */
public final class FakeLink implements Link {
    /** Sent messages, in order. */
    public final List<NodeMessage> mSent = new ArrayList<>();

    /** Listener of the link, through which the test delivers messages. */
    public LinkListener mListener;

    /** True once the link is closed. */
    public boolean mClosed;

    @Override
    public void send(NodeMessage message) {
        mSent.add(message);
    }

    @Override
    public void close(String reason) {
        if (!mClosed) {
            mClosed = true;
            mListener.closed(reason);
        }
    }

    @Override
    public String remoteAddress() {
        return "peer";
    }
}
