package org.knapweedbank.scheduling.placement;

import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.model.DataCentreId;

/** VMs of one data centre with their indexes. */
public final class DataCentreCapacity {
    private final DataCentreId mId;
    private final CapacityIndex mFree = new CapacityIndex();
    private final CapacityIndex mPreemptible = new CapacityIndex();
    private final List<VmSlot> mSlots = new ArrayList<>();
    private boolean mRemoved;

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
    public boolean removed() {
        return mRemoved;
    }

    /**
     * Index by available capacity.
     *
     * @return the index
     */
    public CapacityIndex free() {
        return mFree;
    }

    /**
     * Index by available capacity and that of preemptible tasks.
     *
     * @return the index
     */
    public CapacityIndex preemptible() {
        return mPreemptible;
    }

    List<VmSlot> slots() {
        return mSlots;
    }

    void setRemoved(boolean removed) {
        if (mRemoved != removed) {
            mRemoved = removed;
            mSlots.forEach(VmSlot::reindex);
        }
    }
}
