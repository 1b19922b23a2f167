package org.knapweedbank.routing;

import java.util.ArrayList;
import java.util.List;

/** State of one attempt of a request plan. */
final class PlanAttempt {
    private final int mNumber;
    private final UpstreamId mUpstream;
    private final boolean mResume;
    private final long mSentNanos;
    private final AnswerAssembly mAssembly = new AnswerAssembly();
    private final List<byte[]> mBuffered = new ArrayList<>();
    private long mBufferedBytes;
    private int mStatus;
    private boolean mStream;
    private boolean mAnyFrame;

    /**
     * Creates an attempt.
     *
     * @param number its number
     * @param upstream the upstream, or null for a replay
     * @param resume true if it continues an event stream
     * @param sentNanos monotonic time of its sending
     */
    PlanAttempt(int number, UpstreamId upstream, boolean resume, long sentNanos) {
        mNumber = number;
        mUpstream = upstream;
        mResume = resume;
        mSentNanos = sentNanos;
    }

    int number() {
        return mNumber;
    }

    /** The upstream; null for a replay. */
    UpstreamId upstream() {
        return mUpstream;
    }

    boolean replay() {
        return mUpstream == null;
    }

    boolean resume() {
        return mResume;
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

    boolean stream() {
        return mStream;
    }

    /** True once any frame of an answer has arrived: the upstream has run the attempt. */
    boolean anyFrame() {
        return mAnyFrame;
    }

    long bufferedBytes() {
        return mBufferedBytes;
    }

    AnswerAssembly assembly() {
        return mAssembly;
    }

    void head(int status, boolean stream) {
        mAnyFrame = true;
        if (!hasHead()) {
            mStatus = status;
            mStream = stream;
        }
    }

    void chunk(int index, byte[] bytes) {
        mAnyFrame = true;
        for (byte[] part : mAssembly.add(index, bytes)) {
            mBuffered.add(part);
            mBufferedBytes += part.length;
        }
    }

    void end(int chunks, long bytes) {
        mAnyFrame = true;
        mAssembly.end(chunks, bytes);
    }

    /** Takes the parts in order that have not been taken yet. */
    List<byte[]> takeBuffered() {
        List<byte[]> parts = List.copyOf(mBuffered);
        mBuffered.clear();
        mBufferedBytes = 0;
        return parts;
    }
}
