package org.knapweedbank.node.entry;

/** Source of the operators' decisions. */
public interface FleetFeed {
    /**
     * Starts to follow the decisions.
     *
     * @param listener receives them
     */
    void start(FleetListener listener);
}
