package org.knapweedbank.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** What an upstream stand-in has done. Thread-safe. */
public final class UpstreamRecords {
    private static final int MAX_EXECUTIONS = 100_000;

    private final Deque<UpstreamExecution> mExecutions = new ArrayDeque<>();
    private long mCount;
    private int mRunning;
    private int mMostRunning;
    private int mConnections;
    private int mMostConnections;
    private long mRefused;
    private long mBrokenOff;
    private int mStreams;

    /**
     * Figures of an upstream.
     *
     * @param executions executions of requests other than streams, oldest first; the last 100,000
     * @param count number of executions
     * @param running requests running now
     * @param mostRunning largest number of requests that ran at a time
     * @param connections connections open now
     * @param mostConnections largest number of connections open at a time
     * @param refused requests refused as no slot was free
     * @param brokenOff requests whose connection ended before their answer
     * @param streams streams open now
     */
    public record Summary(
            List<UpstreamExecution> executions,
            long count,
            int running,
            int mostRunning,
            int connections,
            int mostConnections,
            long refused,
            long brokenOff,
            int streams) {}

    /**
     * The figures so far.
     *
     * @return the figures
     */
    public synchronized Summary summary() {
        return new Summary(
                List.copyOf(mExecutions),
                mCount,
                mRunning,
                mMostRunning,
                mConnections,
                mMostConnections,
                mRefused,
                mBrokenOff,
                mStreams);
    }

    synchronized int running() {
        return mRunning;
    }

    /** Takes a slot; false when none is free. */
    synchronized boolean begin(int slots, UpstreamExecution execution) {
        if (mRunning >= slots) {
            mRefused++;
            return false;
        }
        mRunning++;
        mCount++;
        mMostRunning = Math.max(mMostRunning, mRunning);
        mExecutions.addLast(execution);
        if (mExecutions.size() > MAX_EXECUTIONS) {
            mExecutions.removeFirst();
        }
        return true;
    }

    synchronized void end(boolean answered) {
        mRunning--;
        mBrokenOff += answered ? 0 : 1;
    }

    synchronized void connected(int change) {
        mConnections += change;
        mMostConnections = Math.max(mMostConnections, mConnections);
    }

    synchronized void streaming(int change) {
        mStreams += change;
    }
}
