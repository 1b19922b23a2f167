package org.knapweedbank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Puts the chunks of an attempt's answer into order and checks that the body is complete. Duplicate
 * chunks are ignored; a chunk that arrives early is held until all previous chunks have arrived.
 */
final class AnswerAssembler {
    /** Maximum number of held chunks; if more are held, a chunk is assumed lost. */
    private static final int MAX_HELD_CHUNKS = 64;

    private final TreeMap<Integer, byte[]> mHeldChunks = new TreeMap<>();
    private int mNextIndex;
    private long mReceivedBytes;
    private int mExpectedChunks = -1;
    private long mExpectedBytes;
    private boolean mCorrupt;

    /**
     * Adds a chunk.
     *
     * @param index position of the chunk in the body, from 0
     * @param bytes content of the chunk
     * @return the chunks that can now be forwarded in order, possibly none
     */
    List<byte[]> addChunk(int index, byte[] bytes) {
        if (index >= mNextIndex) {
            mHeldChunks.putIfAbsent(index, bytes);
        }
        List<byte[]> ready = new ArrayList<>();
        while (!mHeldChunks.isEmpty() && mHeldChunks.firstKey() == mNextIndex) {
            byte[] chunk = mHeldChunks.pollFirstEntry().getValue();
            ready.add(chunk);
            mNextIndex++;
            mReceivedBytes += chunk.length;
        }
        mCorrupt |= mHeldChunks.size() > MAX_HELD_CHUNKS;
        return ready;
    }

    /**
     * Sets the size of the body as stated by the agent.
     *
     * @param chunks number of chunks
     * @param bytes number of bytes
     */
    void setExpected(int chunks, long bytes) {
        boolean differs = chunks != mExpectedChunks || bytes != mExpectedBytes;
        mCorrupt |= mExpectedChunks >= 0 && differs;
        mExpectedChunks = chunks;
        mExpectedBytes = bytes;
    }

    /** Returns whether all chunks stated by the agent have arrived. */
    boolean isComplete() {
        return !isCorrupt() && mNextIndex == mExpectedChunks;
    }

    /**
     * Returns whether the body can never become complete, because the chunks contradict the stated
     * size or a chunk has been lost.
     */
    boolean isCorrupt() {
        if (mCorrupt || mExpectedChunks < 0) {
            return mCorrupt;
        }
        boolean hasExtraChunk =
                mNextIndex > mExpectedChunks
                        || !mHeldChunks.isEmpty() && mHeldChunks.lastKey() >= mExpectedChunks;
        return hasExtraChunk || mNextIndex == mExpectedChunks && mReceivedBytes != mExpectedBytes;
    }
}
