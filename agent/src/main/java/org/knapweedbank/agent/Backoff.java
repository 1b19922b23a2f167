package org.knapweedbank.agent;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential delay with jitter, so that agents do not reconnect in step after a failure. */
final class Backoff {
    static final Duration FIRST = Duration.ofMillis(200);
    static final Duration LAST = Duration.ofSeconds(5);

    private final RandomGenerator mRandom;
    private Duration mDelay = FIRST;

    Backoff(RandomGenerator random) {
        mRandom = random;
    }

    void reset() {
        mDelay = FIRST;
    }

    /** The next delay, from half to all of the exponential value. */
    Duration next() {
        long millis = mDelay.toMillis();
        mDelay = mDelay.multipliedBy(2).compareTo(LAST) > 0 ? LAST : mDelay.multipliedBy(2);
        return Duration.ofMillis(millis / 2 + mRandom.nextLong(millis / 2 + 1));
    }
}
