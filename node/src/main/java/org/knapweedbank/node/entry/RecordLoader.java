package org.knapweedbank.node.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.jobs.owner.Takeover;
import org.knapweedbank.jobs.owner.VmList;
import org.knapweedbank.model.JobId;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.node.store.ReadOutcome;
import org.knapweedbank.node.store.StoreItem;

/** Loads the records of earlier owners from the store, with retries. */
final class RecordLoader {
    private static final Duration LOAD_RETRY_DELAY = Duration.ofMillis(100);

    private final Timers mTimers;
    private final CoordinationStore mStore;
    private final DecisionLog mLog;
    private final Takeover mTakeover;
    private final Function<VmList, JobOwner> mCreateOwner;

    /** Keys of job records that could not be read; the records are kept as they are. */
    private final Set<String> mUnreadableKeys = new HashSet<>();

    private boolean mStopped;

    /**
     * Creates the loader.
     *
     * @param createOwner creates the owner without jobs, from the list of VMs
     */
    RecordLoader(
            Timers timers,
            CoordinationStore store,
            DecisionLog log,
            Takeover takeover,
            Function<VmList, JobOwner> createOwner) {
        mTimers = timers;
        mStore = store;
        mLog = log;
        mTakeover = takeover;
        mCreateOwner = createOwner;
    }

    /** Loads the records and passes on the owner that holds them, unless stopped before. */
    void load(Consumer<JobOwner> onLoaded) {
        mStore.read(
                StoreKeys.VMS,
                false,
                outcome -> {
                    if (outcome instanceof ReadOutcome.Items items) {
                        loadJobs(items.items(), onLoaded);
                    } else {
                        mTimers.after(LOAD_RETRY_DELAY, () -> retryLoad(onLoaded));
                    }
                });
    }

    void stop() {
        mStopped = true;
    }

    /** Returns whether the record of a job could not be read. */
    boolean isUnreadable(JobId job) {
        return mUnreadableKeys.contains(StoreKeys.job(job));
    }

    private void retryLoad(Consumer<JobOwner> onLoaded) {
        if (!mStopped) {
            load(onLoaded);
        }
    }

    private void loadJobs(List<StoreItem> vmItems, Consumer<JobOwner> onLoaded) {
        mStore.read(
                StoreKeys.JOB_PREFIX,
                false,
                outcome -> {
                    if (mStopped) {
                        return;
                    }
                    if (outcome instanceof ReadOutcome.Items items) {
                        finishLoad(vmItems, items.items(), onLoaded);
                    } else {
                        mTimers.after(LOAD_RETRY_DELAY, () -> retryLoad(onLoaded));
                    }
                });
    }

    private void finishLoad(
            List<StoreItem> vmItems, List<StoreItem> jobs, Consumer<JobOwner> onLoaded) {
        JobOwner owner = mCreateOwner.apply(decodeVmList(vmItems));
        for (StoreItem item : jobs) {
            try {
                owner.load(item.value(), item.revision());
            } catch (IOException e) {
                mLog.record("owner.unreadable", item.key(), "cause", e.getMessage());
                mUnreadableKeys.add(item.key());
            }
        }
        mLog.record(
                "owner.loaded",
                mTakeover.term(),
                "jobs",
                jobs.size(),
                "former_confirmable_ms",
                mTakeover.formerOwnerConfirmable().toMillis());
        onLoaded.accept(owner);
    }

    private VmList decodeVmList(List<StoreItem> items) {
        byte[] record = items.isEmpty() ? new byte[0] : items.getFirst().value();
        long revision = items.isEmpty() ? 0 : items.getFirst().revision();
        try {
            return JobOwner.decodeVmList(record, revision);
        } catch (IOException e) {
            mLog.record("owner.unreadable", StoreKeys.VMS, "cause", e.getMessage());
            return VmList.unreadable(revision);
        }
    }
}
