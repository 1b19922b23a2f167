package org.knapweedbank.agent;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricFilter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.knapweedbank.wire.ServiceLatency;

/**
 * Latencies of the services on the agent's VM over a sliding window of a few seconds. Thread-safe.
 */
final class ServiceLatencies {
    private static final String PREFIX = "agent.latency.";
    private static final long WINDOW_SECONDS = 10;

    private final MetricRegistry mRegistry;

    ServiceLatencies(MetricRegistry registry) {
        mRegistry = registry;
    }

    void record(String service, Duration latency) {
        mRegistry
                .histogram(PREFIX + service, ServiceLatencies::histogram)
                .update(latency.toNanos() / 1_000);
    }

    private static Histogram histogram() {
        return new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS));
    }

    /** Returns the p99 latency of each service that answered requests within the window. */
    List<ServiceLatency> read() {
        return mRegistry.getHistograms(MetricFilter.startsWith(PREFIX)).entrySet().stream()
                .map(entry -> latency(entry.getKey(), entry.getValue().getSnapshot()))
                .filter(latency -> latency.samples() > 0)
                .toList();
    }

    private static ServiceLatency latency(String name, Snapshot snapshot) {
        return new ServiceLatency(
                name.substring(PREFIX.length()),
                (long) snapshot.get99thPercentile(),
                snapshot.size());
    }
}
