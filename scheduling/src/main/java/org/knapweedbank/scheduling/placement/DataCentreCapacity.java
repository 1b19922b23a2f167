package org.knapweedbank.scheduling.placement;

import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.model.DataCentreId;

/** VMs of one data centre, indexed by capacity. */
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
     * Returns the identifier of the data centre.
     *
     * @return the identifier
     */
    public DataCentreId id() {
        return mId;
    }

    /**
     * Returns whether the data centre is out of service and gets no new tasks.
     *
     * @return true if out of service
     */
    public boolean outOfService() {
        return mOutOfService;
    }

    /**
     * Returns the index of VMs by available capacity.
     *
     * @return the index
     */
    public CapacityIndex freeIndex() {
        return mFreeIndex;
    }

    /**
     * Returns the index of VMs by the sum of available capacity and the resources of preemptible
     * tasks.
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
