package org.knapweedbank.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Executions and statistics of a simulated upstream. Thread-safe. */
public final class UpstreamStatistics {
    private static final int MAX_EXECUTIONS = 100_000;

    private final Deque<UpstreamExecution> mExecutions = new ArrayDeque<>();
    private long mExecutionCount;
    private int mRunning;
    private int mMaxRunning;
    private int mConnections;
    private int mMaxConnections;
    private long mRefused;
    private long mAborted;
    private int mStreams;

    /**
     * Statistics of an upstream at one time.
     *
     * @param executions the last 100,000 executions of requests other than streams, oldest first
     * @param count number of all executions so far
     * @param running number of requests that are running
     * @param mostRunning maximum number of requests that ran concurrently
     * @param connections number of open connections
     * @param mostConnections maximum number of concurrently open connections
     * @param refused number of requests refused because no slot was free
     * @param brokenOff number of requests whose connection closed before the response was sent
     * @param streams number of open event streams
     */
    public record Snapshot(
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
     * Returns the executions and statistics so far.
     *
     * @return a snapshot
     */
    public synchronized Snapshot snapshot() {
        return new Snapshot(
                List.copyOf(mExecutions),
                mExecutionCount,
                mRunning,
                mMaxRunning,
                mConnections,
                mMaxConnections,
                mRefused,
                mAborted,
                mStreams);
    }

    synchronized int running() {
        return mRunning;
    }

    /**
     * Takes a slot for a request and records its execution.
     *
     * @param slots number of slots of the upstream
     * @return false if no slot is free, in which case the request is counted as refused
     */
    synchronized boolean tryStart(int slots, UpstreamExecution execution) {
        if (mRunning >= slots) {
            mRefused++;
            return false;
        }
        mRunning++;
        mExecutionCount++;
        mMaxRunning = Math.max(mMaxRunning, mRunning);
        mExecutions.addLast(execution);
        if (mExecutions.size() > MAX_EXECUTIONS) {
            mExecutions.removeFirst();
        }
        return true;
    }

    /**
     * Frees the slot of a request.
     *
     * @param responseSent false if the connection closed before the response
     */
    synchronized void finish(boolean responseSent) {
        mRunning--;
        mAborted += responseSent ? 0 : 1;
    }

    synchronized void addConnections(int delta) {
        mConnections += delta;
        mMaxConnections = Math.max(mMaxConnections, mConnections);
    }

    synchronized void addStreams(int delta) {
        mStreams += delta;
    }
}
