package org.knapweedbank.config;

import java.util.Optional;
import java.util.function.Consumer;

/** Provides the configuration in force at an entry. Its generation never decreases. */
public interface ConfigurationSource {
    /**
     * Returns the configuration of the highest known generation.
     *
     * @return the configuration, or empty while none is known
     */
    Optional<SiteConfiguration> current();

    /**
     * Returns when {@link #current()} was last confirmed as the newest generation: the monotonic
     * time at which the read that confirmed it was sent.
     *
     * @return nanoseconds of the monotonic clock in use, or {@link Long#MIN_VALUE} if it was never
     *     confirmed
     */
    long confirmedNanos();

    /**
     * Registers a listener for new generations. The listener is called immediately if a
     * configuration is already known. Calls come from one thread at a time and must not block.
     *
     * @param listener listener that receives the configurations
     */
    void subscribe(Consumer<SiteConfiguration> listener);
}
