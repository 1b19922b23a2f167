package org.knapweedbank.ring;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Thread for one duty: runs the events of a bounded ring in order, and a periodic step between
 * them. A failing event is logged and does not end the thread.
 */
public final class DutyThread implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(DutyThread.class);
    private static final int BATCH = 256;

    private final BoundedRing<Runnable> mRing;
    private final Thread mThread;
    private final Runnable mStep;
    private final long mStepNanos;
    private volatile boolean mRunning = true;

    /**
     * Creates the thread; {@link #start()} starts it.
     *
     * @param name thread name
     * @param capacity capacity of the ring
     * @param step periodic step, run on the thread
     * @param interval time between two steps
     */
    public DutyThread(String name, int capacity, Runnable step, Duration interval) {
        mRing = new BoundedRing<>(capacity);
        mStep = step;
        mStepNanos = interval.toNanos();
        mThread = new Thread(this::run, name);
        mThread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        mThread.start();
    }

    /**
     * Queues an event.
     *
     * @param event runs on the thread
     * @return false if the ring is full and the event was rejected
     */
    public boolean execute(Runnable event) {
        boolean accepted = mRing.offer(event);
        if (accepted) {
            LockSupport.unpark(mThread);
        } else {
            LOG.warn("[ring] {} is full; event rejected, {} so far", name(), mRing.rejected());
        }
        return accepted;
    }

    /**
     * Number of events rejected because the ring was full.
     *
     * @return the count
     */
    public long rejected() {
        return mRing.rejected();
    }

    /**
     * Name of the thread.
     *
     * @return the name
     */
    public String name() {
        return mThread.getName();
    }

    /** Stops the thread after the event that is running; queued events are dropped. */
    @Override
    public void close() {
        mRunning = false;
        LockSupport.unpark(mThread);
    }

    private void run() {
        long nextStep = System.nanoTime() + mStepNanos;
        while (mRunning) {
            int drained = mRing.drain(this::runSafely, BATCH);
            long remaining = nextStep - System.nanoTime();
            if (remaining <= 0) {
                runSafely(mStep);
                nextStep = System.nanoTime() + mStepNanos;
            } else if (drained == 0 && mRing.isEmpty()) {
                LockSupport.parkNanos(this, remaining);
            }
        }
    }

    private void runSafely(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            LOG.error("[ring] event on {} failed", name(), e);
        }
    }
}
