package org.knapweedbank.agent;

import java.util.List;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.wire.ConfigPush;

/** Gives the fault matrix access to the package-private configuration state of an agent. */
public final class ConfigStateTestDriver {
    private final ConfigState mState = new ConfigState(new DataCentreId("a"));

    /**
     * Applies a pushed configuration and returns whether it has been put in force.
     *
     * @param generation generation of the configuration
     * @param removed data centres that are out of service
     */
    public boolean apply(long generation, List<DataCentreId> removed) {
        return mState.apply(new ConfigPush(generation, removed, "{}"));
    }

    /** Returns the generation in force. */
    public long generation() {
        return mState.generation();
    }

    /** Returns whether the configuration in force allows the agent to start tasks. */
    public boolean startsAllowed() {
        return mState.startRefusal().isEmpty();
    }
}
