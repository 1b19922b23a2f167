package org.knapweedbank.node.entry;

import java.util.Set;
import org.knapweedbank.model.DataCentreId;

/** Receives the configuration and the evacuated data centres. */
public interface FleetListener {
    /**
     * The configuration in the store has changed.
     *
     * @param configuration the configuration
     */
    void configurationChanged(FleetConfiguration configuration);

    /**
     * The set of evacuated data centres has been read; it may be unchanged.
     *
     * @param dataCentres all data centres that are out of service
     */
    void evacuatedDataCentresChanged(Set<DataCentreId> dataCentres);

    /** The listener has received everything that was in the store at the time of the last read. */
    void caughtUp();
}
