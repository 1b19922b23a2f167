package org.knapweedbank.node.entry;

import java.util.Set;
import org.knapweedbank.model.DataCentreId;

/** Receives the configuration and the evacuated data centres. */
public interface FleetListener {
    /**
     * Handles a change of the configuration in the store.
     *
     * @param configuration the configuration
     */
    void updateConfiguration(FleetConfiguration configuration);

    /**
     * Handles a read of the set of evacuated data centres, which may be unchanged.
     *
     * @param dataCentres all data centres that are out of service
     */
    void updateEvacuatedDataCentres(Set<DataCentreId> dataCentres);

    /** Handles the end of a read: the listener has received everything that was in the store. */
    void caughtUp();
}
