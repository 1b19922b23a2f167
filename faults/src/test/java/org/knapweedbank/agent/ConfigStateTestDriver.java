package org.knapweedbank.agent;

import java.util.List;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.wire.ConfigPush;

/** Gives the fault matrix the configuration state of an agent, which is package-private. */
public final class ConfigStateTestDriver {
    private final ConfigState mState = new ConfigState(new DataCentreId("a"));

    public boolean apply(long generation, List<DataCentreId> removed) {
        return mState.apply(new ConfigPush(generation, removed, "{}"));
    }

    public long generation() {
        return mState.generation();
    }

    public boolean startsAllowed() {
        return mState.startRefusal().isEmpty();
    }
}
