package org.knapweedbank.wire;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts frames in metrics named {@code wire.control.*}, {@code wire.data.*} and {@code wire.*}.
 * All connections of a daemon share the counters.
 */
public final class TrafficCounters {
    /** Counters for one direction and one traffic class. */
    private record DirectionCounters(Counter bytes, Counter messages) {}

    private final Map<TrafficClass, DirectionCounters> mSent = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, DirectionCounters> mReceived =
            new EnumMap<>(TrafficClass.class);
    private final Counter mRejected;
    private final Counter mMalformed;

    /**
     * Registers the counters, or uses those that the registry already has.
     *
     * @param registry metric registry of the daemon
     */
    public TrafficCounters(MetricRegistry registry) {
        for (TrafficClass traffic : TrafficClass.values()) {
            mSent.put(traffic, registerCounters(registry, traffic, "sent"));
            mReceived.put(traffic, registerCounters(registry, traffic, "received"));
        }
        mRejected = registry.counter("wire.rejected");
        mMalformed = registry.counter("wire.malformed");
    }

    /**
     * Returns the number of bytes sent and received, including frame headers.
     *
     * @param traffic traffic class
     * @return number of bytes
     */
    public long bytes(TrafficClass traffic) {
        return mSent.get(traffic).bytes().getCount() + mReceived.get(traffic).bytes().getCount();
    }

    /**
     * Returns the number of messages rejected because the write queue of the connection was full.
     *
     * @return number of messages
     */
    public long rejected() {
        return mRejected.getCount();
    }

    /**
     * Returns the number of connections closed because of a malformed or oversized frame.
     *
     * @return number of connections
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

    private static void count(
            Map<TrafficClass, DirectionCounters> counters, Message message, int bytes) {
        DirectionCounters typeCounters = counters.get(MessageType.of(message).traffic());
        typeCounters.bytes().inc(bytes);
        typeCounters.messages().inc();
    }

    private static DirectionCounters registerCounters(
            MetricRegistry registry, TrafficClass traffic, String direction) {
        String prefix = "wire." + traffic.name().toLowerCase(Locale.ROOT) + "." + direction;
        return new DirectionCounters(
                registry.counter(prefix + ".bytes"), registry.counter(prefix + ".messages"));
    }
}
