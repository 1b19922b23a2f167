package org.knapweedbank.agent;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter, which prevents agents from reconnecting in lockstep after a
 * failure.
 */
final class Backoff {
    static final Duration INITIAL_DELAY = Duration.ofMillis(200);
    static final Duration MAX_DELAY = Duration.ofSeconds(5);

    private final RandomGenerator mRandom;
    private Duration mDelay = INITIAL_DELAY;

    Backoff(RandomGenerator random) {
        mRandom = random;
    }

    void reset() {
        mDelay = INITIAL_DELAY;
    }

    /** Returns the next delay, chosen at random between half and all of the exponential value. */
    Duration nextDelay() {
        long millis = mDelay.toMillis();
        mDelay =
                mDelay.multipliedBy(2).compareTo(MAX_DELAY) > 0
                        ? MAX_DELAY
                        : mDelay.multipliedBy(2);
        return Duration.ofMillis(millis / 2 + mRandom.nextLong(millis / 2 + 1));
    }
}
