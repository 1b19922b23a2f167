package org.knapweedbank.entry.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;

/** Writes the metrics of a registry as lines of text: name, optional quantile, value. */
final class MetricsText {
    private static final double NANOS_PER_SECOND = 1e9;

    private MetricsText() {}

    /**
     * Formats all metrics.
     *
     * @param registry the registry
     * @return text in the exposition format of version 0.0.4
     */
    static String of(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        registry.getCounters().forEach((name, c) -> line(text, name, "", c.getCount()));
        registry.getMeters().forEach((name, m) -> line(text, name, "", m.getCount()));
        registry.getGauges()
                .forEach(
                        (name, gauge) -> {
                            if (gauge.getValue() instanceof Number number) {
                                line(text, name, "", number.doubleValue());
                            }
                        });
        registry.getHistograms().forEach((name, h) -> quantiles(text, name, h.getSnapshot(), 1));
        registry.getTimers()
                .forEach(
                        (name, timer) -> {
                            line(text, name + ".count", "", timer.getCount());
                            quantiles(
                                    text, name + ".seconds", timer.getSnapshot(), NANOS_PER_SECOND);
                        });
        return text.toString();
    }

    private static void quantiles(
            StringBuilder text, String name, Snapshot snapshot, double divisor) {
        line(text, name, "{quantile=\"0.5\"}", snapshot.getMedian() / divisor);
        line(text, name, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / divisor);
        line(text, name, "{quantile=\"0.999\"}", snapshot.get999thPercentile() / divisor);
    }

    private static void line(StringBuilder text, String name, String labels, double value) {
        text.append("knapweedbank_")
                .append(name.replaceAll("[^A-Za-z0-9_]", "_"))
                .append(labels)
                .append(' ')
                .append(String.format(Locale.ROOT, "%s", value))
                .append('\n');
    }
}
