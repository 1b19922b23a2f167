package org.knapweedbank.routing;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.model.DataCentreId;

/** Estimates the network round-trip time to each data centre. Not thread-safe. */
public final class NetworkDelays {
    /** Weight of a sample above the estimate; a sample below the estimate replaces it. */
    private static final double INCREASE_WEIGHT = 0.125;

    private final DataCentreId mLocalDataCentre;
    private final SelectorSettings mSettings;
    private final Map<DataCentreId, Double> mRoundTripNanos = new HashMap<>();

    /**
     * Creates the estimates.
     *
     * @param localDataCentre data centre of this entry
     * @param settings settings with the round-trip times assumed before the first measurement
     */
    public NetworkDelays(DataCentreId localDataCentre, SelectorSettings settings) {
        mLocalDataCentre = localDataCentre;
        mSettings = settings;
    }

    /**
     * Records a measured round trip. A sample above the estimate may include scheduling delays of
     * either daemon and therefore has less weight than one below it.
     *
     * @param dataCentre the data centre
     * @param nanos measured round-trip time in nanoseconds
     */
    public void observe(DataCentreId dataCentre, long nanos) {
        mRoundTripNanos.merge(
                dataCentre,
                (double) nanos,
                (old, sample) -> sample < old ? sample : old + (sample - old) * INCREASE_WEIGHT);
    }

    /**
     * Returns the estimated round-trip time to a data centre.
     *
     * @param dataCentre the data centre
     * @return round-trip time in nanoseconds
     */
    public double roundTripNanos(DataCentreId dataCentre) {
        Double known = mRoundTripNanos.get(dataCentre);
        if (known != null) {
            return known;
        }
        boolean local = dataCentre.equals(mLocalDataCentre);
        return (local ? mSettings.localNetwork() : mSettings.remoteNetwork()).toNanos();
    }
}
