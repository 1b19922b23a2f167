package org.knapweedbank.agent;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.ServiceLatency;
import org.knapweedbank.wire.UsageSample;
import org.knapweedbank.worker.TaskUsage;
import org.knapweedbank.worker.Worker;
import org.knapweedbank.worker.WorkerResult;

/** Reads usage from the worker at an interval and hands each sample to one heartbeat. */
final class UsageFeed {
    static final Duration INTERVAL = Duration.ofSeconds(5);

    /** Samples in one heartbeat; bounds its size. */
    private static final int MAX_SAMPLES = 256;

    private final Worker mWorker;
    private final Clock mClock;
    private final WorkerCalls mCalls;
    private final PendingCall mCall;
    private final ServiceLatencies mLatencies;
    private boolean mFresh;
    private List<TaskUsage> mSamples = List.of();
    private long mReceivedNanos;

    UsageFeed(Worker worker, Clock clock, DutyExecutor executor) {
        this(worker, clock, executor, new ServiceLatencies(new MetricRegistry()));
    }

    UsageFeed(Worker worker, Clock clock, DutyExecutor executor, ServiceLatencies latencies) {
        mLatencies = latencies;
        mWorker = worker;
        mClock = clock;
        mCalls = new WorkerCalls(executor);
        mCall = new PendingCall(clock, () -> INTERVAL, INTERVAL);
    }

    void step() {
        if (!mCall.due()) {
            return;
        }
        long number = mCall.issued();
        mCalls.call(
                mWorker.usage(),
                result -> {
                    boolean succeeded = result instanceof WorkerResult.Succeeded;
                    if (mCall.completed(number, succeeded)
                            && result
                                    instanceof
                                    WorkerResult.Succeeded<List<TaskUsage>>(var samples)) {
                        mSamples = samples;
                        mFresh = true;
                        mReceivedNanos = mClock.monotonicNanos();
                    }
                });
    }

    /** The latencies of the services, once for each reading of the usage. */
    List<ServiceLatency> takeLatencies() {
        if (!mFresh) {
            return List.of();
        }
        mFresh = false;
        return mLatencies.read();
    }

    /** The samples that no heartbeat has carried yet. */
    List<UsageSample> take() {
        long heldMillis = (mClock.monotonicNanos() - mReceivedNanos) / 1_000_000;
        List<UsageSample> taken =
                mSamples.stream()
                        .limit(MAX_SAMPLES)
                        .map(
                                usage ->
                                        new UsageSample(
                                                usage.task(),
                                                usage.attempt(),
                                                usage.used(),
                                                0,
                                                usage.sampleAgeMillis() + heldMillis))
                        .toList();
        mSamples = List.of();
        return taken;
    }
}
