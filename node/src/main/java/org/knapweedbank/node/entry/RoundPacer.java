package org.knapweedbank.node.entry;

import java.time.Duration;

/**
 * Decides how long the next scheduling round waits for further inputs. On a loaded owner each
 * message would otherwise cause a round of its own, and the rounds would take the processor time
 * that the messages need. The delay grows with the duration of the last round, so that the rounds
 * take a bounded share of the time at any number of jobs and VMs.
 */
final class RoundPacer {
    /** Minimum delay, within which inputs that arrive together are collected. */
    static final Duration MIN_DELAY = Duration.ofMillis(1);

    /** Maximum delay, so that a single slow round does not hold up urgent jobs. */
    static final Duration MAX_DELAY = Duration.ofMillis(40);

    /** Delay as a multiple of the duration of the last round: rounds take a quarter of the time. */
    private static final int DELAY_FACTOR = 3;

    private Duration mDelay = MIN_DELAY;

    /** Records how long a round has taken. */
    void roundTook(Duration duration) {
        Duration delay = duration.multipliedBy(DELAY_FACTOR);
        if (delay.compareTo(MIN_DELAY) < 0) {
            mDelay = MIN_DELAY;
        } else {
            mDelay = delay.compareTo(MAX_DELAY) > 0 ? MAX_DELAY : delay;
        }
    }

    /** Returns the delay from an input to the round that handles it. */
    Duration delay() {
        return mDelay;
    }
}
