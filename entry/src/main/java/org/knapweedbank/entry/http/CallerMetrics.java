package org.knapweedbank.entry.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.knapweedbank.model.RequestOutcome;

/** Metrics of callers' requests. */
final class CallerMetrics {
    private final Timer mLatency;
    private final Counter mAnswered;
    private final Counter mNotRun;
    private final Counter mUnknown;
    private final Counter mAborted;
    private final Counter mCallerGone;
    private final Counter mSent;
    private final Counter mRepeated;
    private final Counter mInvalid;

    CallerMetrics(MetricRegistry registry) {
        mLatency = registry.timer("entry.latency");
        mAnswered = registry.counter("entry.requests.answered");
        mNotRun = registry.counter("entry.requests.not-run");
        mUnknown = registry.counter("entry.requests.unknown");
        mAborted = registry.counter("entry.requests.aborted");
        mCallerGone = registry.counter("entry.requests.caller-gone");
        mSent = registry.counter("entry.attempts.sent");
        mRepeated = registry.counter("entry.attempts.repeated");
        mInvalid = registry.counter("entry.requests.invalid");
    }

    void answered(long nanos) {
        mAnswered.inc();
        mLatency.update(nanos, java.util.concurrent.TimeUnit.NANOSECONDS);
    }

    void refused(RequestOutcome outcome) {
        switch (outcome) {
            case RequestOutcome.Answered answered -> mAnswered.inc();
            case RequestOutcome.NotRun notRun -> mNotRun.inc();
            case RequestOutcome.Unknown unknown -> mUnknown.inc();
        }
    }

    void aborted() {
        mAborted.inc();
    }

    void callerGone() {
        mCallerGone.inc();
    }

    void invalid() {
        mInvalid.inc();
    }

    void sent(int attempt) {
        mSent.inc();
        if (attempt > 1) {
            mRepeated.inc();
        }
    }
}
