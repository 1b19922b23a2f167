package org.knapweedbank.node.entry;

import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.LinkListener;
import org.knapweedbank.node.link.NodeMessage;

/** The owner's end of a link to another entry, which passes its callers' requests. */
final class EntryLink implements LinkListener {
    private final OwnerDuty mOwner;
    private final Link mLink;

    EntryLink(OwnerDuty owner, Link link) {
        mOwner = owner;
        mLink = link;
    }

    @Override
    public void received(NodeMessage message) {
        if (message instanceof NodeMessage.Call call && mOwner.ready()) {
            mOwner.call(call.request(), answer -> reply(call.number(), answer));
        } else {
            mLink.close("only calls to the owner are expected");
        }
    }

    @Override
    public void closed(String reason) {
        mOwner.entryClosed(mLink);
    }

    /** An answer that is missing is not sent: the entry repeats the call at the next owner. */
    private void reply(long number, CallAnswer answer) {
        if (answer != null) {
            mLink.send(new NodeMessage.Reply(number, answer));
        }
    }
}
