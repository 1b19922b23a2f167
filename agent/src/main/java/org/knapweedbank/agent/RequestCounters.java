package org.knapweedbank.agent;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of requests, named {@code agent.requests.*}. */
final class RequestCounters {
    private final Counter mAnswered;
    private final Counter mNotRun;
    private final Counter mUnknown;
    private final Counter mDuplicates;
    private final Counter mStreamsMoved;

    RequestCounters(MetricRegistry registry) {
        mAnswered = registry.counter("agent.requests.answered");
        mNotRun = registry.counter("agent.requests.not-run");
        mUnknown = registry.counter("agent.requests.unknown");
        mDuplicates = registry.counter("agent.requests.duplicates");
        mStreamsMoved = registry.counter("agent.requests.streams-moved");
    }

    Counter answered() {
        return mAnswered;
    }

    Counter notRun() {
        return mNotRun;
    }

    Counter unknown() {
        return mUnknown;
    }

    Counter duplicates() {
        return mDuplicates;
    }

    Counter streamsMoved() {
        return mStreamsMoved;
    }
}
