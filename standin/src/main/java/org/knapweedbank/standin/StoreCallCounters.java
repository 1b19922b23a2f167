package org.knapweedbank.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the calls to a store by kind, and the bytes of keys and values. Thread-safe. */
public final class StoreCallCounters {
    private final Map<StoreCallKind, AtomicLong> mCalls = new EnumMap<>(StoreCallKind.class);
    private final AtomicLong mBytesWritten = new AtomicLong();
    private final AtomicLong mBytesRead = new AtomicLong();
    private final AtomicLong mLargestValue = new AtomicLong();

    /** Creates counters at zero. */
    public StoreCallCounters() {
        for (StoreCallKind kind : StoreCallKind.values()) {
            mCalls.put(kind, new AtomicLong());
        }
    }

    /**
     * Number of calls of one kind that reached the store.
     *
     * @param kind the kind
     * @return the count
     */
    public long calls(StoreCallKind kind) {
        return mCalls.get(kind).get();
    }

    /**
     * Number of calls that change the store: writes, grants and revocations.
     *
     * @return the count
     */
    public long writes() {
        return calls(StoreCallKind.WRITE)
                + calls(StoreCallKind.LEASE_GRANT)
                + calls(StoreCallKind.REVOKE);
    }

    /**
     * Number of the other calls: reads, extensions of leases and watches.
     *
     * @return the count
     */
    public long reads() {
        return calls(StoreCallKind.READ)
                + calls(StoreCallKind.KEEP_ALIVE)
                + calls(StoreCallKind.WATCH);
    }

    /**
     * Bytes of keys and values in writes.
     *
     * @return the number of bytes
     */
    public long bytesWritten() {
        return mBytesWritten.get();
    }

    /**
     * Bytes of keys and values in answers to reads.
     *
     * @return the number of bytes
     */
    public long bytesRead() {
        return mBytesRead.get();
    }

    /**
     * Size of the largest value written.
     *
     * @return the number of bytes
     */
    public long largestValue() {
        return mLargestValue.get();
    }

    void count(StoreCallKind kind) {
        mCalls.get(kind).incrementAndGet();
    }

    void countWritten(String key, byte[] value) {
        mBytesWritten.addAndGet(key.length() + value.length);
        mLargestValue.accumulateAndGet(value.length, Math::max);
    }

    void countRead(String key, byte[] value) {
        mBytesRead.addAndGet(key.length() + value.length);
    }
}
