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
 * Gives the fault matrix access to an owned partition with its journal and controller, which are
 * package-private. They are assembled as in {@code PartitionHost}, whose own step can run only on
 * its thread.
 */
public final class PartitionTestDriver {
    private final OwnedPartition mPartition;

    /**
     * Assembles the partition, replays its journal and applies the configuration.
     *
     * @param outputDecorator wraps the output of the controller
     * @param controlThread runs callbacks of the journal
     * @param onFenced runs when a newer owner has fenced this one off
     */
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
            WorkerTaskReader workers) {
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

    /** Returns the ownership under which the partition is held. */
    public Ownership ownership() {
        return mPartition.ownership();
    }

    /** Returns the controller of the partition. */
    public PartitionController controller() {
        return mPartition.controller();
    }

    /** Returns whether no record awaits its commit, so that the partition can be released. */
    public boolean isIdle() {
        return mPartition.pendingAppendCount() == 0;
    }

    /** Closes the partition and its journal. */
    public void close() {
        mPartition.close();
    }

    /** Returns the records of a journal as a new owner replays them. */
    public static List<JournalRecord> records(JournalContents contents) {
        return JournalReplay.records(contents);
    }
}
