package org.knapweedbank.scheduling.placement;

import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.model.DataCentreId;

/** VMs of one data centre with their indexes. */
public final class DataCentreCapacity {
    private final DataCentreId mId;
    private final CapacityIndex mFreeIndex = new CapacityIndex();
    private final CapacityIndex mPreemptibleIndex = new CapacityIndex();
    private final List<VmState> mVms = new ArrayList<>();
    private boolean mOutOfService;

    DataCentreCapacity(DataCentreId id) {
        mId = id;
    }

    /**
     * The data centre.
     *
     * @return its name
     */
    public DataCentreId id() {
        return mId;
    }

    /**
     * Tells whether the data centre takes no new tasks.
     *
     * @return true if removed
     */
    public boolean outOfService() {
        return mOutOfService;
    }

    /**
     * Index by available capacity.
     *
     * @return the index
     */
    public CapacityIndex freeIndex() {
        return mFreeIndex;
    }

    /**
     * Index by available capacity and that of preemptible tasks.
     *
     * @return the index
     */
    public CapacityIndex preemptibleIndex() {
        return mPreemptibleIndex;
    }

    List<VmState> vms() {
        return mVms;
    }

    void setOutOfService(boolean outOfService) {
        if (mOutOfService != outOfService) {
            mOutOfService = outOfService;
            mVms.forEach(VmState::reindex);
        }
    }
}
