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

/** Answers the request for the state of the deployment. */
final class StatusRequests {
    private final ConfigurationSource mSource;
    private final DaemonDirectory mDirectory;
    private final Clock mClock;
    private final String mEntryId;

    StatusRequests(
            ConfigurationSource source, DaemonDirectory directory, Clock clock, String entryId) {
        mSource = source;
        mDirectory = directory;
        mClock = clock;
        mEntryId = entryId;
    }

    Uni<OperatorAnswer> show() {
        return mDirectory.daemons().map(this::status);
    }

    private OperatorAnswer status(List<DaemonStatus> daemons) {
        Optional<SiteConfiguration> current = mSource.current();
        long generation = current.map(SiteConfiguration::generation).orElse(0L);
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("entry", mEntryId);
        node.put("site", current.map(SiteConfiguration::site).orElse(""));
        node.put("generation", generation);
        node.put("viewAgeMillis", viewAgeMillis());
        var centres = node.putArray("dataCentres");
        current.map(SiteConfiguration::dataCentres)
                .orElse(List.of())
                .forEach(
                        centre ->
                                centres.addObject()
                                        .put("name", centre.id().value())
                                        .put("region", centre.region())
                                        .put("state", centre.removed() ? "out" : "in"));
        var list = node.putArray("daemons");
        daemons.stream()
                .sorted(Comparator.comparing(DaemonStatus::daemon))
                .forEach(daemon -> list.add(daemon(daemon, generation)));
        return OperatorAnswer.of(200, node).withGeneration(generation);
    }

    private static ObjectNode daemon(DaemonStatus status, long generation) {
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

    /** Age of the last confirmed view in milliseconds, or -1 if there was none. */
    private long viewAgeMillis() {
        long confirmed = mSource.confirmedNanos();
        return confirmed == Long.MIN_VALUE
                ? -1
                : Duration.ofNanos(mClock.monotonicNanos() - confirmed).toMillis();
    }
}
