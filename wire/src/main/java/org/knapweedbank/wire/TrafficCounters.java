package org.knapweedbank.wire;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counters of frames, kept in a metric registry under {@code wire.control.*}, {@code wire.data.*}
 * and {@code wire.*}; they are shared by all connections of a daemon.
 */
public final class TrafficCounters {
    private record Direction(Counter bytes, Counter messages) {}

    private final Map<Traffic, Direction> mSent = new EnumMap<>(Traffic.class);
    private final Map<Traffic, Direction> mReceived = new EnumMap<>(Traffic.class);
    private final Counter mRejected;
    private final Counter mMalformed;

    /**
     * Creates or finds the counters.
     *
     * @param registry registry of the daemon
     */
    public TrafficCounters(MetricRegistry registry) {
        for (Traffic traffic : Traffic.values()) {
            mSent.put(traffic, direction(registry, traffic, "sent"));
            mReceived.put(traffic, direction(registry, traffic, "received"));
        }
        mRejected = registry.counter("wire.rejected");
        mMalformed = registry.counter("wire.malformed");
    }

    /**
     * Bytes sent and received, with frame headers.
     *
     * @param traffic class of traffic
     * @return number of bytes
     */
    public long bytes(Traffic traffic) {
        return mSent.get(traffic).bytes().getCount() + mReceived.get(traffic).bytes().getCount();
    }

    /**
     * Messages rejected because the write queue of their connection was full.
     *
     * @return the count
     */
    public long rejected() {
        return mRejected.getCount();
    }

    /**
     * Connections closed because of a malformed or oversized frame.
     *
     * @return the count
     */
    public long malformed() {
        return mMalformed.getCount();
    }

    void countSent(Message message, int bytes) {
        count(mSent, message, bytes);
    }

    void countReceived(Message message, int bytes) {
        count(mReceived, message, bytes);
    }

    void countRejected() {
        mRejected.inc();
    }

    void countMalformed() {
        mMalformed.inc();
    }

    private static void count(Map<Traffic, Direction> side, Message message, int bytes) {
        Direction direction = side.get(MessageType.of(message).traffic());
        direction.bytes().inc(bytes);
        direction.messages().inc();
    }

    private static Direction direction(MetricRegistry registry, Traffic traffic, String side) {
        String prefix = "wire." + traffic.name().toLowerCase(Locale.ROOT) + "." + side;
        return new Direction(
                registry.counter(prefix + ".bytes"), registry.counter(prefix + ".messages"));
    }
}
