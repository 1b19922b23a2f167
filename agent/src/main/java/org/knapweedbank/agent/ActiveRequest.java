package org.knapweedbank.agent;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.routing.duplicate.AttemptKey;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.Request;

/** A request that waits for a slot or is running at its upstream. Not thread-safe. */
final class ActiveRequest {
    private final AttemptKey mKey;
    private final Request mRequest;
    private final Upstream mUpstream;
    private final long mDeadlineNanos;
    private final List<WaitingDuplicate> mWaitingDuplicates = new ArrayList<>();
    private EntryConnection mEntryConnection;
    private UpstreamCall mCall;
    private long mStartedNanos;
    private boolean mForwarded;
    private boolean mHasHead;
    private boolean mStream;
    private boolean mDone;
    private int mStatus;
    private List<HeaderField> mHeaders = List.of();
    private ByteArrayOutputStream mRecording;
    private int mChunkCount;
    private long mByteCount;

    ActiveRequest(
            AttemptKey key,
            Request request,
            Upstream upstream,
            EntryConnection entryConnection,
            long deadlineNanos) {
        mKey = key;
        mRequest = request;
        mUpstream = upstream;
        mEntryConnection = entryConnection;
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

    List<WaitingDuplicate> waitingDuplicates() {
        return mWaitingDuplicates;
    }

    /**
     * Returns the entry that waits for the answer, or null if it has disconnected or cancelled the
     * request.
     */
    EntryConnection entryConnection() {
        return mEntryConnection;
    }

    /** Drops the entry; the request continues for its waiting duplicates and for repeats. */
    void detach() {
        mEntryConnection = null;
    }

    UpstreamCall call() {
        return mCall;
    }

    void setCall(UpstreamCall call) {
        mCall = call;
    }

    /** Records that the request is handed to the HTTP client at the given monotonic time. */
    void markForwarded(long nowNanos) {
        mForwarded = true;
        mStartedNanos = nowNanos;
    }

    /** Returns true once the request was handed to the HTTP client. */
    boolean isForwarded() {
        return mForwarded;
    }

    long startedNanos() {
        return mStartedNanos;
    }

    void recordHead(int status, List<HeaderField> headers, boolean stream) {
        mHasHead = true;
        mStatus = status;
        mHeaders = headers;
        mStream = stream;
        if (stream) {
            mRecording = null;
        }
    }

    boolean hasHead() {
        return mHasHead;
    }

    boolean isStream() {
        return mStream;
    }

    /**
     * Counts a chunk of the answer and returns its index. The chunk is recorded unless the answer
     * would exceed {@code recordLimit} bytes; then the whole recording is discarded.
     */
    int recordChunk(byte[] bytes, int offset, int length, int recordLimit) {
        mByteCount += length;
        if (mRecording != null) {
            if (mRecording.size() + length > recordLimit) {
                mRecording = null;
            } else {
                mRecording.write(bytes, offset, length);
            }
        }
        return mChunkCount++;
    }

    int chunkCount() {
        return mChunkCount;
    }

    long byteCount() {
        return mByteCount;
    }

    /** Returns the recorded answer, or null if the answer is not recorded. */
    RecordedAnswer recordedAnswer() {
        return mRecording == null
                ? null
                : new RecordedAnswer(mStatus, mHeaders, mRecording.toByteArray());
    }

    boolean isDone() {
        return mDone;
    }

    void markDone() {
        mDone = true;
    }
}
