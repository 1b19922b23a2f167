package org.knapweedbank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Puts the body of one attempt's answer in order and checks that it is complete. A doubled part is
 * ignored; a part that arrives early is held until those before it have arrived.
 */
final class AnswerAssembly {
    /** Parts that may be held; more means that a part has been lost. */
    private static final int HELD_LIMIT = 64;

    private final TreeMap<Integer, byte[]> mHeld = new TreeMap<>();
    private int mNext;
    private long mBytes;
    private int mExpectedChunks = -1;
    private long mExpectedBytes;
    private boolean mCorrupt;

    /**
     * Takes a part.
     *
     * @param index its position
     * @param bytes its content
     * @return the parts that are now in order, possibly none
     */
    List<byte[]> add(int index, byte[] bytes) {
        if (index >= mNext) {
            mHeld.putIfAbsent(index, bytes);
        }
        List<byte[]> ready = new ArrayList<>();
        while (!mHeld.isEmpty() && mHeld.firstKey() == mNext) {
            byte[] part = mHeld.pollFirstEntry().getValue();
            ready.add(part);
            mNext++;
            mBytes += part.length;
        }
        mCorrupt |= mHeld.size() > HELD_LIMIT;
        return ready;
    }

    /**
     * Takes the counts that the agent states.
     *
     * @param chunks number of parts
     * @param bytes number of bytes
     */
    void end(int chunks, long bytes) {
        boolean differs = chunks != mExpectedChunks || bytes != mExpectedBytes;
        mCorrupt |= mExpectedChunks >= 0 && differs;
        mExpectedChunks = chunks;
        mExpectedBytes = bytes;
    }

    /** Tells whether all parts stated have arrived. */
    boolean complete() {
        return !corrupt() && mNext == mExpectedChunks;
    }

    /** Tells whether the parts contradict the counts, so that the answer can never be complete. */
    boolean corrupt() {
        if (mCorrupt || mExpectedChunks < 0) {
            return mCorrupt;
        }
        boolean extra =
                mNext > mExpectedChunks || !mHeld.isEmpty() && mHeld.lastKey() >= mExpectedChunks;
        return extra || mNext == mExpectedChunks && mBytes != mExpectedBytes;
    }
}
