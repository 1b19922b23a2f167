package org.knapweedbank.agent;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.routing.duplicate.AttemptKey;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.Request;

/** A request that waits for a slot or runs at its upstream. */
final class ActiveRequest {
    private final AttemptKey mKey;
    private final Request mRequest;
    private final Upstream mUpstream;
    private final long mDeadlineNanos;
    private final List<Waiter> mWaiters = new ArrayList<>();
    private EntryPeer mPeer;
    private UpstreamCall mCall;
    private long mStartedNanos;
    private boolean mPassedOn;
    private boolean mHeadReceived;
    private boolean mStream;
    private boolean mDone;
    private int mStatus;
    private List<HeaderField> mHeaders = List.of();
    private ByteArrayOutputStream mRecording;
    private int mChunks;
    private long mBytes;

    ActiveRequest(
            AttemptKey key,
            Request request,
            Upstream upstream,
            EntryPeer peer,
            long deadlineNanos) {
        mKey = key;
        mRequest = request;
        mUpstream = upstream;
        mPeer = peer;
        mDeadlineNanos = deadlineNanos;
        mRecording = key.hasKey() ? new ByteArrayOutputStream() : null;
    }

    AttemptKey key() {
        return mKey;
    }

    Request request() {
        return mRequest;
    }

    Upstream upstream() {
        return mUpstream;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    List<Waiter> waiters() {
        return mWaiters;
    }

    /** The entry that waits for the answer, or null if it has gone. */
    EntryPeer peer() {
        return mPeer;
    }

    void detach() {
        mPeer = null;
    }

    UpstreamCall call() {
        return mCall;
    }

    void call(UpstreamCall call) {
        mCall = call;
    }

    void passedOn(long nowNanos) {
        mPassedOn = true;
        mStartedNanos = nowNanos;
    }

    /** True once the request was handed to the HTTP client. */
    boolean isPassedOn() {
        return mPassedOn;
    }

    long startedNanos() {
        return mStartedNanos;
    }

    void head(int status, List<HeaderField> headers, boolean stream) {
        mHeadReceived = true;
        mStatus = status;
        mHeaders = headers;
        mStream = stream;
        if (stream) {
            mRecording = null;
        }
    }

    boolean headReceived() {
        return mHeadReceived;
    }

    boolean isStream() {
        return mStream;
    }

    /** Counts a chunk, records it within the limit, and returns its index. */
    int chunk(byte[] bytes, int offset, int length, int recordLimit) {
        mBytes += length;
        if (mRecording != null) {
            if (mRecording.size() + length > recordLimit) {
                mRecording = null;
            } else {
                mRecording.write(bytes, offset, length);
            }
        }
        return mChunks++;
    }

    int chunks() {
        return mChunks;
    }

    long bytes() {
        return mBytes;
    }

    /** The recorded answer, or null if it is not recorded. */
    RecordedAnswer recorded() {
        return mRecording == null
                ? null
                : new RecordedAnswer(mStatus, mHeaders, mRecording.toByteArray());
    }

    boolean isDone() {
        return mDone;
    }

    void done() {
        mDone = true;
    }
}
