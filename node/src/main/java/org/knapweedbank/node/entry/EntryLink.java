package org.knapweedbank.node.entry;

import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.LinkListener;
import org.knapweedbank.node.link.NodeMessage;

/** Owner's side of a link to another entry, which forwards the requests of its callers. */
final class EntryLink implements LinkListener {
    private final OwnershipTerm mOwnership;
    private final Link mLink;
    private final DaemonId mEntry;
    private boolean mWithdrawn;

    EntryLink(OwnershipTerm ownership, Link link, DaemonId entry) {
        mOwnership = ownership;
        mLink = link;
        mEntry = entry;
    }

    DaemonId entry() {
        return mEntry;
    }

    /** Returns whether the process of the entry has stated that it will begin no term any more. */
    boolean isWithdrawn() {
        return mWithdrawn;
    }

    void send(NodeMessage message) {
        mLink.send(message);
    }

    void close(String reason) {
        mLink.close(reason);
    }

    @Override
    public void received(NodeMessage message) {
        switch (message) {
            case NodeMessage.Call call when mOwnership.isReady() ->
                    mOwnership.call(call.request(), answer -> sendReply(call.number(), answer));
            case NodeMessage.Withdrawal withdrawal -> {
                mWithdrawn = true;
                mOwnership.handleWithdrawal(mEntry);
            }
            case NodeMessage.Registration registration ->
                    mOwnership.handleRegistration(mEntry, registration);
            case NodeMessage.TermAnswer answer ->
                    mOwnership.handleTermAnswer(answer.number(), mEntry);
            default -> mLink.close("unexpected message; only calls to the owner are accepted");
        }
    }

    @Override
    public void closed(String reason) {
        mOwnership.removeEntry(this);
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
