package org.knapweedbank.ring;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * Bounded queue from many producers to one consumer. A full ring rejects the element, so that load
 * is refused where it arises and memory stays bounded.
 *
 * @param <T> type of the elements
 */
public final class BoundedRing<T> {
    private final MpscArrayQueue<T> mQueue;
    private final AtomicLong mRejected = new AtomicLong();

    /**
     * Creates a ring.
     *
     * @param capacity number of elements, rounded up to a power of two
     */
    public BoundedRing(int capacity) {
        mQueue = new MpscArrayQueue<>(capacity);
    }

    /**
     * Adds an element unless the ring is full.
     *
     * @param element the element
     * @return false if the ring is full; the rejection is counted
     */
    public boolean offer(T element) {
        if (mQueue.offer(element)) {
            return true;
        }
        mRejected.incrementAndGet();
        return false;
    }

    /**
     * Passes the elements present to the consumer; only the consumer's thread may call this.
     *
     * @param consumer receives each element
     * @param limit largest number of elements to take
     * @return number of elements taken
     */
    public int drain(Consumer<? super T> consumer, int limit) {
        return mQueue.drain(consumer::accept, limit);
    }

    /**
     * Tells whether the ring is empty.
     *
     * @return true if it holds no element
     */
    public boolean isEmpty() {
        return mQueue.isEmpty();
    }

    /**
     * Number of elements rejected so far.
     *
     * @return the count
     */
    public long rejected() {
        return mRejected.get();
    }
}
