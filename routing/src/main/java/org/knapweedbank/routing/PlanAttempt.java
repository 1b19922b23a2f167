package org.knapweedbank.routing;

import java.util.ArrayList;
import java.util.List;

/** State of one attempt to answer a request. */
final class PlanAttempt {
    private final int mNumber;
    private final UpstreamId mUpstream;
    private final boolean mResumesStream;
    private final long mSentNanos;
    private final AnswerAssembler mAssembler = new AnswerAssembler();
    private final List<byte[]> mBufferedChunks = new ArrayList<>();
    private long mBufferedBytes;
    private int mStatus;
    private boolean mIsStream;
    private boolean mAnyFrameReceived;

    /**
     * Creates an attempt.
     *
     * @param number number of the attempt, from 1
     * @param upstream upstream that gets the attempt, or null for a replay of a recorded answer
     * @param resumesStream true if the attempt resumes an event stream
     * @param sentNanos monotonic time at which the attempt was sent, in nanoseconds
     */
    PlanAttempt(int number, UpstreamId upstream, boolean resumesStream, long sentNanos) {
        mNumber = number;
        mUpstream = upstream;
        mResumesStream = resumesStream;
        mSentNanos = sentNanos;
    }

    int number() {
        return mNumber;
    }

    /** Returns the upstream, or null if this attempt replays a recorded answer. */
    UpstreamId upstream() {
        return mUpstream;
    }

    boolean isReplay() {
        return mUpstream == null;
    }

    boolean resumesStream() {
        return mResumesStream;
    }

    long sentNanos() {
        return mSentNanos;
    }

    boolean hasHead() {
        return mStatus != 0;
    }

    int status() {
        return mStatus;
    }

    boolean isStream() {
        return mIsStream;
    }

    /**
     * Returns whether any frame of the answer has arrived, which shows that the upstream has run
     * the attempt.
     */
    boolean anyFrameReceived() {
        return mAnyFrameReceived;
    }

    long bufferedBytes() {
        return mBufferedBytes;
    }

    AnswerAssembler assembler() {
        return mAssembler;
    }

    void receiveHead(int status, boolean stream) {
        mAnyFrameReceived = true;
        if (!hasHead()) {
            mStatus = status;
            mIsStream = stream;
        }
    }

    void receiveChunk(int index, byte[] bytes) {
        mAnyFrameReceived = true;
        for (byte[] chunk : mAssembler.addChunk(index, bytes)) {
            mBufferedChunks.add(chunk);
            mBufferedBytes += chunk.length;
        }
    }

    void receiveEnd(int chunks, long bytes) {
        mAnyFrameReceived = true;
        mAssembler.setExpected(chunks, bytes);
    }

    /** Returns the chunks that can be forwarded in order, and removes them from the buffer. */
    List<byte[]> takeBufferedChunks() {
        List<byte[]> chunks = List.copyOf(mBufferedChunks);
        mBufferedChunks.clear();
        mBufferedBytes = 0;
        return chunks;
    }
}
