package org.knapweedbank.entry.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.knapweedbank.config.ConfigurationSource;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.DaemonStatus;

/** Handles requests for the status of the deployment: data centres and daemons. */
final class StatusRequestHandler {
    private final ConfigurationSource mSource;
    private final DaemonDirectory mDirectory;
    private final Clock mClock;
    private final String mEntryId;

    StatusRequestHandler(
            ConfigurationSource source, DaemonDirectory directory, Clock clock, String entryId) {
        mSource = source;
        mDirectory = directory;
        mClock = clock;
        mEntryId = entryId;
    }

    /** Returns the status of all data centres and daemons. */
    Uni<OperatorResponse> show() {
        return mDirectory.daemons().map(this::toStatusResponse);
    }

    private OperatorResponse toStatusResponse(List<DaemonStatus> daemons) {
        Optional<SiteConfiguration> current = mSource.current();
        long generation = current.map(SiteConfiguration::generation).orElse(0L);
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("entry", mEntryId);
        node.put("site", current.map(SiteConfiguration::site).orElse(""));
        node.put("generation", generation);
        node.put("viewAgeMillis", viewAgeMillis());
        var dataCentreNodes = node.putArray("dataCentres");
        current.map(SiteConfiguration::dataCentres)
                .orElse(List.of())
                .forEach(
                        dataCentre ->
                                dataCentreNodes
                                        .addObject()
                                        .put("name", dataCentre.id().value())
                                        .put("region", dataCentre.region())
                                        .put("state", dataCentre.removed() ? "out" : "in"));
        var daemonNodes = node.putArray("daemons");
        daemons.stream()
                .sorted(Comparator.comparing(DaemonStatus::daemon))
                .forEach(daemon -> daemonNodes.add(toJson(daemon, generation)));
        return OperatorResponse.of(200, node).withGeneration(generation);
    }

    private static ObjectNode toJson(DaemonStatus status, long generation) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", status.daemon().value());
        node.put("role", status.role().name().toLowerCase(Locale.ROOT));
        node.put("dataCentre", status.dataCentre().value());
        node.put("incarnation", status.incarnation());
        node.put("generation", status.generation());
        node.put("connected", status.connected());
        node.put("confirmed", status.connected() && status.generation() >= generation);
        node.put("address", status.address());
        node.put("upstreams", status.upstreams().size());
        return node;
    }

    /**
     * Returns the time since the configuration view was last confirmed, in milliseconds, or -1 if
     * it has never been confirmed.
     */
    private long viewAgeMillis() {
        long confirmedNanos = mSource.confirmedNanos();
        return confirmedNanos == Long.MIN_VALUE
                ? -1
                : Duration.ofNanos(mClock.monotonicNanos() - confirmedNanos).toMillis();
    }
}
