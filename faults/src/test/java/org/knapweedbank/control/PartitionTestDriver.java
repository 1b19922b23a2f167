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
public final class PartitionTestDriver {
    private final OwnedPartition mPartition;

    public PartitionTestDriver(
            Ownership ownership,
            PartitionJournal journal,
            JournalContents contents,
            ControlSettings settings,
            Clock clock,
            SiteConfiguration configuration,
            UnaryOperator<ControllerOutput> outputDecorator,
            Consumer<Runnable> controlThread,
            Runnable onFenced,
            WorkerLists workers) {
        mPartition =
                new OwnedPartition(
                        ownership, journal, controlThread, owned -> onFenced.run(), workers);
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
                        outputDecorator.apply(mPartition),
                        new ControlCounters(new MetricRegistry()));
        mPartition.setController(controller);
        controller.recover(JournalReplay.records(contents));
        controller.configure(configuration);
    }

    public Ownership ownership() {
        return mPartition.ownership();
    }

    public PartitionController controller() {
        return mPartition.controller();
    }

    /** True if no record waits for its commit, so that the partition may be given up. */
    public boolean isIdle() {
        return mPartition.pendingAppends() == 0;
    }

    public void close() {
        mPartition.close();
    }

    /** The records of a journal, as a new owner reads them. */
    public static List<JournalRecord> records(JournalContents contents) {
        return JournalReplay.records(contents);
    }
}
