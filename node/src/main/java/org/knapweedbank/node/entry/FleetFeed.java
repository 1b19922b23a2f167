package org.knapweedbank.node.entry;

/** Source of the configuration and of the evacuated data centres, as set by operators. */
public interface FleetFeed {
    /**
     * Starts to watch for changes.
     *
     * @param listener receives the current values and all changes
     */
    void start(FleetListener listener);
}
