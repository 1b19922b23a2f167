package org.knapweedbank.config;

import java.util.Optional;
import java.util.function.Consumer;

/** The configuration in force at an entry. Its generation never goes back. */
public interface ConfigurationSource {
    /**
     * The highest generation known.
     *
     * @return the configuration, or empty before the first one is known
     */
    Optional<SiteConfiguration> current();

    /**
     * Moment of the last confirmed view: the monotonic time at which the read was sent whose answer
     * confirmed that {@link #current()} is the newest generation.
     *
     * @return monotonic nanoseconds of the clock in use, or {@link Long#MIN_VALUE} if never
     */
    long confirmedNanos();

    /**
     * Reports each new generation, and the current one at once if there is one. Calls come from one
     * thread at a time and must not block.
     *
     * @param listener receives the configurations
     */
    void subscribe(Consumer<SiteConfiguration> listener);
}
