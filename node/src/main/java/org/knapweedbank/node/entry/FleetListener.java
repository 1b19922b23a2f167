package org.knapweedbank.node.entry;

import java.util.Set;
import org.knapweedbank.model.DataCentreId;

/** Receives what operators decide. */
public interface FleetListener {
    /**
     * A newer configuration is in force.
     *
     * @param configuration the configuration
     */
    void configurationChanged(FleetConfiguration configuration);

    /**
     * The set of data centres that are out of service has changed.
     *
     * @param dataCentres the data centres
     */
    void evacuatedDataCentresChanged(Set<DataCentreId> dataCentres);

    /** All decisions up to now are known. */
    void caughtUp();
}
