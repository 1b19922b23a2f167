package org.knapweedbank.jobs.owner;

import java.io.IOException;
import java.util.TreeSet;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Numbers of the failed runs of a task. Each run counts once, regardless of the order in which
 * workers report failures: a new owner may learn of the second failure before the first, and of
 * each more than once.
 */
final class FailedRuns {
    private final TreeSet<Long> mRuns = new TreeSet<>();

    /**
     * Records a failed run.
     *
     * @param run number of the run
     * @return true unless the failure was known already
     */
    boolean add(long run) {
        return mRuns.add(run);
    }

    /** Removes all but the runs with the highest numbers. */
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
