package org.knapweedbank.routing;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.model.DataCentreId;

/** Estimates the network round trip to each data centre. Used from one thread. */
public final class NetworkDelays {
    /** Share by which an estimate follows a longer round trip; it follows a shorter one at once. */
    private static final double RISE = 0.125;

    private final DataCentreId mOwn;
    private final SelectorSettings mSettings;
    private final Map<DataCentreId, Double> mNanos = new HashMap<>();

    /**
     * Creates the estimates.
     *
     * @param own data centre of this entry
     * @param settings values used before the first measurement
     */
    public NetworkDelays(DataCentreId own, SelectorSettings settings) {
        mOwn = own;
        mSettings = settings;
    }

    /**
     * Adds a measured round trip. A longer round trip may contain scheduling delays of either
     * daemon, so it has less weight than a shorter one.
     *
     * @param dataCentre the data centre
     * @param nanos round trip in nanoseconds
     */
    public void observe(DataCentreId dataCentre, long nanos) {
        mNanos.merge(
                dataCentre,
                (double) nanos,
                (old, sample) -> sample < old ? sample : old + (sample - old) * RISE);
    }

    /**
     * The estimated round trip.
     *
     * @param dataCentre the data centre
     * @return nanoseconds
     */
    public double nanos(DataCentreId dataCentre) {
        Double known = mNanos.get(dataCentre);
        if (known != null) {
            return known;
        }
        boolean local = dataCentre.equals(mOwn);
        return (local ? mSettings.localNetwork() : mSettings.remoteNetwork()).toNanos();
    }
}
