package org.knapweedbank.ring;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Event loop thread that runs queued tasks in order and a periodic task between them. An exception
 * thrown by a task is logged and does not end the thread.
 */
public final class DutyThread implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(DutyThread.class);

    /** Number of queued tasks that run before the periodic task is checked again. */
    private static final int MAX_TASKS_PER_DRAIN = 256;

    private final BoundedMpscQueue<Runnable> mQueue;
    private final Thread mThread;
    private final Runnable mPeriodicTask;
    private final long mIntervalNanos;
    private volatile boolean mRunning = true;

    /**
     * Creates the thread without starting it; {@link #start()} starts it.
     *
     * @param name thread name
     * @param capacity maximum number of queued tasks, rounded up to a power of two
     * @param periodicTask task that runs on this thread once per interval
     * @param interval time between the end of one run of the periodic task and the next run
     */
    public DutyThread(String name, int capacity, Runnable periodicTask, Duration interval) {
        mQueue = new BoundedMpscQueue<>(capacity);
        mPeriodicTask = periodicTask;
        mIntervalNanos = interval.toNanos();
        mThread = new Thread(this::run, name);
        mThread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        mThread.start();
    }

    /**
     * Queues a task to run on this thread.
     *
     * @param task the task
     * @return false if the queue is full and the task was rejected
     */
    public boolean execute(Runnable task) {
        boolean accepted = mQueue.offer(task);
        if (accepted) {
            LockSupport.unpark(mThread);
        } else {
            LOG.warn(
                    "[ring] {} is full; event rejected, {} so far", name(), mQueue.rejectedCount());
        }
        return accepted;
    }

    /**
     * Returns the number of tasks rejected so far because the queue was full.
     *
     * @return number of rejected tasks
     */
    public long rejectedCount() {
        return mQueue.rejectedCount();
    }

    /**
     * Returns the name of the thread.
     *
     * @return the name
     */
    public String name() {
        return mThread.getName();
    }

    /**
     * Stops the thread after the tasks that it has already started to drain; tasks that are still
     * queued then are dropped.
     */
    @Override
    public void close() {
        mRunning = false;
        LockSupport.unpark(mThread);
    }

    private void run() {
        long nextRunNanos = System.nanoTime() + mIntervalNanos;
        while (mRunning) {
            int drained = mQueue.drain(this::runAndLogFailure, MAX_TASKS_PER_DRAIN);
            long remainingNanos = nextRunNanos - System.nanoTime();
            if (remainingNanos <= 0) {
                runAndLogFailure(mPeriodicTask);
                nextRunNanos = System.nanoTime() + mIntervalNanos;
            } else if (drained == 0 && mQueue.isEmpty()) {
                LockSupport.parkNanos(this, remainingNanos);
            }
        }
    }

    private void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("[ring] task on thread {} failed", name(), e);
        }
    }
}
