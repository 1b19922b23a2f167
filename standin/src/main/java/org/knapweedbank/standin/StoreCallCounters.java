package org.knapweedbank.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the calls to a store by kind, and the bytes of keys and values. A key counts with its
 * length in characters. Thread-safe.
 */
public final class StoreCallCounters {
    private final Map<StoreCallKind, AtomicLong> mCalls = new EnumMap<>(StoreCallKind.class);
    private final AtomicLong mBytesWritten = new AtomicLong();
    private final AtomicLong mBytesRead = new AtomicLong();
    private final AtomicLong mLargestValueBytes = new AtomicLong();

    /** Creates counters that start at zero. */
    public StoreCallCounters() {
        for (StoreCallKind kind : StoreCallKind.values()) {
            mCalls.put(kind, new AtomicLong());
        }
    }

    /**
     * Returns the number of calls of one kind that reached the store.
     *
     * @param kind kind of the calls
     * @return the number of calls
     */
    public long calls(StoreCallKind kind) {
        return mCalls.get(kind).get();
    }

    /**
     * Returns the number of calls that change the store: writes, lease grants and revocations.
     *
     * @return the number of calls
     */
    public long writes() {
        return calls(StoreCallKind.WRITE)
                + calls(StoreCallKind.LEASE_GRANT)
                + calls(StoreCallKind.REVOKE);
    }

    /**
     * Returns the number of all other calls: reads, lease renewals and opened watches.
     *
     * @return the number of calls
     */
    public long reads() {
        return calls(StoreCallKind.READ)
                + calls(StoreCallKind.KEEP_ALIVE)
                + calls(StoreCallKind.WATCH);
    }

    /**
     * Returns the total size of the keys and values in writes.
     *
     * @return the number of bytes
     */
    public long bytesWritten() {
        return mBytesWritten.get();
    }

    /**
     * Returns the total size of the keys and values in responses to reads.
     *
     * @return the number of bytes
     */
    public long bytesRead() {
        return mBytesRead.get();
    }

    /**
     * Returns the size of the largest value written so far.
     *
     * @return the number of bytes
     */
    public long largestValue() {
        return mLargestValueBytes.get();
    }

    void count(StoreCallKind kind) {
        mCalls.get(kind).incrementAndGet();
    }

    void countWritten(String key, byte[] value) {
        mBytesWritten.addAndGet(key.length() + value.length);
        mLargestValueBytes.accumulateAndGet(value.length, Math::max);
    }

    void countRead(String key, byte[] value) {
        mBytesRead.addAndGet(key.length() + value.length);
    }
}
