package org.knapweedbank.jobs.owner;

import java.io.IOException;
import java.util.TreeSet;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Runs of a task that have failed. Each counts once, in whatever order workers tell of them: a new
 * owner may hear of the second failure before the first, and of each more than once.
 */
final class FailedRuns {
    private final TreeSet<Long> mRuns = new TreeSet<>();

    /**
     * Takes note of a failure.
     *
     * @param run number of the run
     * @return true unless it was known
     */
    boolean add(long run) {
        return mRuns.add(run);
    }

    /** Forgets all but the newest runs. */
    void keepNewest(int count) {
        while (mRuns.size() > count) {
            mRuns.pollFirst();
        }
    }

    int count() {
        return mRuns.size();
    }

    void pack(MessageBufferPacker packer) throws IOException {
        packer.packArrayHeader(mRuns.size());
        for (long run : mRuns) {
            packer.packLong(run);
        }
    }

    void unpack(MessageUnpacker in) throws IOException {
        int count = in.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            mRuns.add(in.unpackLong());
        }
    }
}
