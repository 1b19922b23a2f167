package org.knapweedbank.soak;

import java.util.function.DoubleSupplier;

/**
 * Delays of a proxy, drawn anew for each piece of data.
 *
 * @param share share of the pieces that are delayed
 * @param maxRequestMillis maximum delay of requests
 * @param maxAnswerMillis maximum delay of answers
 * @param requestsOutliveServer true if a delayed request whose server has gone is delivered to the
 *     one that listens then
 */
record ProxyDelays(
        double share, long maxRequestMillis, long maxAnswerMillis, boolean requestsOutliveServer) {
    static final ProxyDelays NONE = new ProxyDelays(0, 0, 0, false);

    long draw(boolean isRequest, DoubleSupplier random) {
        long maxMillis = isRequest ? maxRequestMillis : maxAnswerMillis;
        return random.getAsDouble() < share ? (long) (random.getAsDouble() * maxMillis) : 0;
    }
}
