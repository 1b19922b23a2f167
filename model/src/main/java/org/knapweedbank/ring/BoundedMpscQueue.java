package org.knapweedbank.ring;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * Bounded queue with several producers and a single consumer. A full queue rejects new elements, so
 * that the producer sees the overload and memory use stays bounded.
 *
 * @param <T> type of the elements
 */
public final class BoundedMpscQueue<T> {
    private final MpscArrayQueue<T> mQueue;
    private final AtomicLong mRejectedCount = new AtomicLong();

    /**
     * Creates an empty queue.
     *
     * @param capacity maximum number of elements, rounded up to a power of two
     */
    public BoundedMpscQueue(int capacity) {
        mQueue = new MpscArrayQueue<>(capacity);
    }

    /**
     * Adds an element unless the queue is full. Any thread may call this.
     *
     * @param element the element
     * @return false if the queue is full; the rejected element is counted
     */
    public boolean offer(T element) {
        if (mQueue.offer(element)) {
            return true;
        }
        mRejectedCount.incrementAndGet();
        return false;
    }

    /**
     * Removes queued elements and passes them to the consumer. Only the consumer thread may call
     * this.
     *
     * @param consumer receives each element
     * @param limit maximum number of elements to remove
     * @return number of elements removed
     */
    public int drain(Consumer<? super T> consumer, int limit) {
        return mQueue.drain(consumer::accept, limit);
    }

    /**
     * Returns whether the queue is empty.
     *
     * @return true if there is no queued element
     */
    public boolean isEmpty() {
        return mQueue.isEmpty();
    }

    /**
     * Returns the number of elements rejected so far.
     *
     * @return number of rejected elements
     */
    public long rejectedCount() {
        return mRejectedCount.get();
    }
}
