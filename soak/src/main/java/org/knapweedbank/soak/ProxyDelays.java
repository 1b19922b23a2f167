package org.knapweedbank.soak;

import java.util.function.DoubleSupplier;

/**
 * Delays of a proxy, drawn anew for each piece of data.
 *
 * @param share share of the pieces that are delayed
 * @param maxRequestMillis maximum delay of requests
 * @param maxAnswerMillis maximum delay of answers
 */
record ProxyDelays(double share, long maxRequestMillis, long maxAnswerMillis) {
    static final ProxyDelays NONE = new ProxyDelays(0, 0, 0);

    long draw(boolean isRequest, DoubleSupplier random) {
        long maxMillis = isRequest ? maxRequestMillis : maxAnswerMillis;
        return random.getAsDouble() < share ? (long) (random.getAsDouble() * maxMillis) : 0;
    }
}
