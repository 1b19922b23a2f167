package org.knapweedbank.entry.operator;

import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.knapweedbank.wire.OperatorCall;
import org.knapweedbank.wire.OperatorReply;

/** Two peers, of which entry-2 answers and entry-3 does not. */
final class FakeForwarder implements OperatorForwarder {
    private volatile int mStatus = 200;
    private volatile OperatorCall mLast;

    void answerWith(int status) {
        mStatus = status;
    }

    OperatorCall last() {
        return mLast;
    }

    @Override
    public Uni<OperatorReply> forward(String entryId, OperatorCall call) {
        if (entryId.equals("entry-3")) {
            return Uni.createFrom().item(new OperatorReply(1, 504, new byte[0]));
        }
        mLast = call;
        String body =
                call.path().equals("/v1/jobs")
                        ? "{\"jobs\": [{\"id\": \"here\"}, {\"id\": \"there\"}], \"omitted\": 2}"
                        : "{\"id\": \"far\"}";
        byte[] bytes = mStatus == 200 ? body.getBytes(StandardCharsets.UTF_8) : new byte[0];
        return Uni.createFrom().item(new OperatorReply(1, mStatus, bytes));
    }

    @Override
    public List<String> peers() {
        return List.of("entry-2", "entry-3");
    }
}
