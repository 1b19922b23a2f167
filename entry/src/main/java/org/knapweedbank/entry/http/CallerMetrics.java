package org.knapweedbank.entry.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.knapweedbank.model.RequestOutcome;

/** Counters and latency of the requests of callers. */
final class CallerMetrics {
    private final Timer mLatency;
    private final Counter mAnswered;
    private final Counter mNotRun;
    private final Counter mUnknown;
    private final Counter mAborted;
    private final Counter mCallerDisconnects;
    private final Counter mAttempts;
    private final Counter mRepeatedAttempts;
    private final Counter mInvalid;

    CallerMetrics(MetricRegistry registry) {
        mLatency = registry.timer("entry.latency");
        mAnswered = registry.counter("entry.requests.answered");
        mNotRun = registry.counter("entry.requests.not-run");
        mUnknown = registry.counter("entry.requests.unknown");
        mAborted = registry.counter("entry.requests.aborted");
        mCallerDisconnects = registry.counter("entry.requests.caller-gone");
        mAttempts = registry.counter("entry.attempts.sent");
        mRepeatedAttempts = registry.counter("entry.attempts.repeated");
        mInvalid = registry.counter("entry.requests.invalid");
    }

    /**
     * Records a completely forwarded response.
     *
     * @param nanos latency of the request in nanoseconds
     */
    void recordResponse(long nanos) {
        mAnswered.inc();
        mLatency.update(nanos, java.util.concurrent.TimeUnit.NANOSECONDS);
    }

    /** Records the outcome of a request that was answered with a problem document. */
    void recordOutcome(RequestOutcome outcome) {
        switch (outcome) {
            case RequestOutcome.Answered answered -> mAnswered.inc();
            case RequestOutcome.NotRun notRun -> mNotRun.inc();
            case RequestOutcome.Unknown unknown -> mUnknown.inc();
        }
    }

    void recordAbort() {
        mAborted.inc();
    }

    void recordCallerDisconnect() {
        mCallerDisconnects.inc();
    }

    void recordInvalidRequest() {
        mInvalid.inc();
    }

    /**
     * Records an attempt that is sent to an agent.
     *
     * @param attempt number of the attempt; a number above 1 counts as a repeat
     */
    void recordAttempt(int attempt) {
        mAttempts.inc();
        if (attempt > 1) {
            mRepeatedAttempts.inc();
        }
    }
}
