package org.knapweedbank.agent;

import java.util.Optional;
import java.util.Set;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.wire.ConfigPush;

/** Configuration in force at the agent; its generation never decreases. Not thread-safe. */
final class ConfigState {
    private final DataCentreId mDataCentre;
    private long mGeneration;
    private Set<DataCentreId> mRemoved = Set.of();

    ConfigState(DataCentreId dataCentre) {
        mDataCentre = dataCentre;
    }

    /**
     * Applies a configuration; returns false, with no effect, if its generation is not higher than
     * the one in force.
     */
    boolean apply(ConfigPush push) {
        if (push.generation() <= mGeneration) {
            return false;
        }
        mGeneration = push.generation();
        mRemoved = Set.copyOf(push.removed());
        return true;
    }

    /** Returns the generation in force, or 0 if no configuration is known. */
    long generation() {
        return mGeneration;
    }

    /** Returns the reason to refuse the start of a task, or empty if starts are allowed. */
    Optional<String> startRefusal() {
        if (mGeneration == 0) {
            return Optional.of("agent knows no configuration");
        }
        return mRemoved.contains(mDataCentre)
                ? Optional.of("data centre " + mDataCentre + " is out of service")
                : Optional.empty();
    }
}
