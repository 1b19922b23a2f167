package org.knapweedbank.agent;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.Request;

/** Records the forwarded requests; the test supplies the answers. */
final class FakeUpstream implements UpstreamCaller {
    final List<Call> mCalls = new ArrayList<>();

    /** A forwarded request. */
    static final class Call implements UpstreamCall {
        final Request mRequest;
        final UpstreamCallListener mListener;
        boolean mCancelled;
        boolean mPaused;

        private Call(Request request, UpstreamCallListener listener) {
            mRequest = request;
            mListener = listener;
        }

        void answer(String body) {
            mListener.head(200, List.of(new HeaderField("Content-Type", "text/plain")));
            mListener.bytes(body.getBytes(StandardCharsets.UTF_8));
            mListener.end();
        }

        void beginStream() {
            mListener.head(200, List.of(new HeaderField("content-type", "text/event-stream")));
        }

        @Override
        public void cancel() {
            mCancelled = true;
        }

        @Override
        public void pause() {
            mPaused = true;
        }

        @Override
        public void resume() {
            mPaused = false;
        }
    }

    @Override
    public UpstreamCall call(String address, Request request, UpstreamCallListener listener) {
        Call call = new Call(request, listener);
        mCalls.add(call);
        return call;
    }
}
