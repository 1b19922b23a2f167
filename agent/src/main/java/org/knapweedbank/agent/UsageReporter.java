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

/**
 * Reads the usage of tasks from the worker periodically and provides each sample for one heartbeat.
 * Not thread-safe; used on the control thread only.
 */
final class UsageReporter {
    static final Duration READ_INTERVAL = Duration.ofSeconds(5);

    /** Maximum number of samples in one heartbeat, which bounds the size of the message. */
    private static final int MAX_SAMPLES_PER_HEARTBEAT = 256;

    private final Worker mWorker;
    private final Clock mClock;
    private final WorkerCalls mCalls;
    private final PeriodicCall mUsageCall;
    private final ServiceLatencies mLatencies;
    private boolean mLatenciesDue;
    private List<TaskUsage> mSamples = List.of();
    private long mReceivedNanos;

    UsageReporter(Worker worker, Clock clock, DutyExecutor executor) {
        this(worker, clock, executor, new ServiceLatencies(new MetricRegistry()));
    }

    UsageReporter(Worker worker, Clock clock, DutyExecutor executor, ServiceLatencies latencies) {
        mLatencies = latencies;
        mWorker = worker;
        mClock = clock;
        mCalls = new WorkerCalls(executor);
        mUsageCall = new PeriodicCall(clock, () -> READ_INTERVAL, READ_INTERVAL);
    }

    /** Requests the usage from the worker if the interval has passed. */
    void step() {
        if (!mUsageCall.isDue()) {
            return;
        }
        long number = mUsageCall.recordIssue();
        mCalls.call(
                mWorker.usage(),
                result -> {
                    boolean succeeded = result instanceof WorkerResult.Succeeded;
                    if (mUsageCall.recordResult(number, succeeded)
                            && result
                                    instanceof
                                    WorkerResult.Succeeded<List<TaskUsage>>(var samples)) {
                        mSamples = samples;
                        mLatenciesDue = true;
                        mReceivedNanos = mClock.monotonicNanos();
                    }
                });
    }

    /**
     * Returns the latencies of the services, once after each reading of the usage and otherwise an
     * empty list.
     */
    List<ServiceLatency> takeLatencies() {
        if (!mLatenciesDue) {
            return List.of();
        }
        mLatenciesDue = false;
        return mLatencies.read();
    }

    /**
     * Returns the samples that have not been returned before. Samples beyond the maximum are
     * dropped.
     */
    List<UsageSample> takeSamples() {
        long heldMillis = (mClock.monotonicNanos() - mReceivedNanos) / 1_000_000;
        List<UsageSample> taken =
                mSamples.stream()
                        .limit(MAX_SAMPLES_PER_HEARTBEAT)
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
