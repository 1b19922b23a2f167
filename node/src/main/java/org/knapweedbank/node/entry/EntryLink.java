package org.knapweedbank.node.entry;

import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.LinkListener;
import org.knapweedbank.node.link.NodeMessage;

/** The owner's end of a link to another entry, which passes its callers' requests. */
final class EntryLink implements LinkListener {
    private final OwnershipTerm mOwnership;
    private final Link mLink;

    EntryLink(OwnershipTerm ownership, Link link) {
        mOwnership = ownership;
        mLink = link;
    }

    @Override
    public void received(NodeMessage message) {
        if (message instanceof NodeMessage.Call call && mOwnership.isReady()) {
            mOwnership.call(call.request(), answer -> sendReply(call.number(), answer));
        } else {
            mLink.close("only calls to the owner are expected");
        }
    }

    @Override
    public void closed(String reason) {
        mOwnership.removeEntry(mLink);
    }

    /** An answer that is missing is not sent: the entry repeats the call at the next owner. */
    private void sendReply(long number, CallAnswer answer) {
        if (answer != null) {
            mLink.send(new NodeMessage.Reply(number, answer));
        }
    }
}
