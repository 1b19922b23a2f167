package org.knapweedbank.entry.operator;

import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.knapweedbank.wire.OperatorCall;
import org.knapweedbank.wire.OperatorReply;

/** Forwarder with two peers: entry-2 replies, and requests to entry-3 time out. */
final class FakeForwarder implements OperatorForwarder {
    private volatile int mReplyStatus = 200;
    private volatile OperatorCall mLastCall;

    /** Sets the status of entry-2's replies; replies with another status than 200 have no body. */
    void setReplyStatus(int status) {
        mReplyStatus = status;
    }

    /** Returns the last request forwarded to entry-2, or null. */
    OperatorCall lastCall() {
        return mLastCall;
    }

    @Override
    public Uni<OperatorReply> forward(String entryId, OperatorCall call) {
        if (entryId.equals("entry-3")) {
            return Uni.createFrom().item(new OperatorReply(1, 504, new byte[0]));
        }
        mLastCall = call;
        String body =
                call.path().equals("/v1/jobs")
                        ? "{\"jobs\": [{\"id\": \"here\"}, {\"id\": \"there\"}], \"omitted\": 2}"
                        : "{\"id\": \"far\"}";
        byte[] bytes = mReplyStatus == 200 ? body.getBytes(StandardCharsets.UTF_8) : new byte[0];
        return Uni.createFrom().item(new OperatorReply(1, mReplyStatus, bytes));
    }

    @Override
    public List<String> peers() {
        return List.of("entry-2", "entry-3");
    }
}
