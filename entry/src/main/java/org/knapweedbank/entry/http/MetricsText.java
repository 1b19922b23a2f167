package org.knapweedbank.entry.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;

/** Formats the metrics of a registry in the Prometheus text format. */
final class MetricsText {
    private static final double NANOS_PER_SECOND = 1e9;

    private MetricsText() {}

    /**
     * Formats all metrics as lines of name, optional quantile label and value. Gauges without a
     * numeric value are omitted.
     *
     * @param registry the registry
     * @return text in version 0.0.4 of the exposition format
     */
    static String format(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        registry.getCounters()
                .forEach((name, counter) -> appendLine(text, name, "", counter.getCount()));
        registry.getMeters().forEach((name, meter) -> appendLine(text, name, "", meter.getCount()));
        registry.getGauges()
                .forEach(
                        (name, gauge) -> {
                            if (gauge.getValue() instanceof Number number) {
                                appendLine(text, name, "", number.doubleValue());
                            }
                        });
        registry.getHistograms()
                .forEach(
                        (name, histogram) ->
                                appendQuantiles(text, name, histogram.getSnapshot(), 1));
        registry.getTimers()
                .forEach(
                        (name, timer) -> {
                            appendLine(text, name + ".count", "", timer.getCount());
                            appendQuantiles(
                                    text, name + ".seconds", timer.getSnapshot(), NANOS_PER_SECOND);
                        });
        return text.toString();
    }

    private static void appendQuantiles(
            StringBuilder text, String name, Snapshot snapshot, double divisor) {
        appendLine(text, name, "{quantile=\"0.5\"}", snapshot.getMedian() / divisor);
        appendLine(text, name, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / divisor);
        appendLine(text, name, "{quantile=\"0.999\"}", snapshot.get999thPercentile() / divisor);
    }

    private static void appendLine(StringBuilder text, String name, String labels, double value) {
        text.append("knapweedbank_")
                .append(name.replaceAll("[^A-Za-z0-9_]", "_"))
                .append(labels)
                .append(' ')
                .append(String.format(Locale.ROOT, "%s", value))
                .append('\n');
    }
}
