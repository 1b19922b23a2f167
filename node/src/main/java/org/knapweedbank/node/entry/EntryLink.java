package org.knapweedbank.node.entry;

import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.LinkListener;
import org.knapweedbank.node.link.NodeMessage;

/** Owner's side of a link to another entry, which forwards the requests of its callers. */
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
            mLink.close("unexpected message; only calls to the owner are accepted");
        }
    }

    @Override
    public void closed(String reason) {
        mOwnership.removeEntry(mLink);
    }

    /**
     * Sends an answer. A null answer is not sent, and the entry repeats the call at the next owner.
     */
    private void sendReply(long number, CallAnswer answer) {
        if (answer != null) {
            mLink.send(new NodeMessage.Reply(number, answer));
        }
    }
}
