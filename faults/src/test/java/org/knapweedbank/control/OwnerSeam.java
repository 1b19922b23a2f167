package org.knapweedbank.control;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.scheduling.PartitionScheduler;
import org.knapweedbank.scheduling.SchedulerSettings;
import org.knapweedbank.store.journal.JournalContents;
import org.knapweedbank.store.journal.PartitionJournal;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.time.Clock;

/**
 * Gives the fault matrix an owned partition with its journal and controller, assembled as in {@code
 * PartitionHost}, whose own step runs on a thread only.
 */
public final class OwnerSeam {
    private final OwnedPartition mOwned;

    public OwnerSeam(
            Ownership ownership,
            PartitionJournal journal,
            JournalContents contents,
            ControlSettings settings,
            Clock clock,
            SiteConfiguration configuration,
            UnaryOperator<ControllerOutput> output,
            Consumer<Runnable> onControlThread,
            Runnable fenced,
            WorkerLists workers) {
        mOwned =
                new OwnedPartition(
                        ownership, journal, onControlThread, owned -> fenced.run(), workers);
        PartitionController controller =
                new PartitionController(
                        ownership.partition(),
                        ownership.epoch(),
                        settings,
                        clock,
                        new PartitionScheduler(
                                SchedulerSettings.defaults(),
                                clock,
                                RandomSource.SPLIT_MIX_64.create(7L)),
                        output.apply(mOwned),
                        new ControlCounters(new MetricRegistry()));
        mOwned.setController(controller);
        controller.recover(JournalReplay.records(contents));
        controller.configure(configuration);
    }

    public Ownership ownership() {
        return mOwned.ownership();
    }

    public PartitionController controller() {
        return mOwned.controller();
    }

    /** True if no record waits for its commit, so that the partition may be given up. */
    public boolean isIdle() {
        return mOwned.pendingAppends() == 0;
    }

    public void close() {
        mOwned.close();
    }

    /** The records of a journal, as a new owner reads them. */
    public static List<JournalRecord> records(JournalContents contents) {
        return JournalReplay.records(contents);
    }
}
