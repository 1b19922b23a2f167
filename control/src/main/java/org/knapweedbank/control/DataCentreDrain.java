package org.knapweedbank.control;

import java.util.Comparator;
import java.util.Set;
import org.knapweedbank.model.DataCentreId;

/** Drains data centres that have been taken out of service. */
final class DataCentreDrain {
    private final PartitionContext mContext;
    private final AttemptControl mAttempts;

    DataCentreDrain(PartitionContext context, AttemptControl attempts) {
        mContext = context;
        mAttempts = attempts;
    }

    /**
     * Checkpoints the batch tasks and replaces the service replicas in the removed data centres.
     * This is called repeatedly, because the start of an attempt may have been in transit when the
     * data centre was taken out of service.
     */
    void drain() {
        Set<DataCentreId> removed = mContext.removedDataCentres();
        if (!removed.isEmpty()) {
            mContext.sessions().values().stream()
                    .filter(
                            session ->
                                    session.hasConnected()
                                            && removed.contains(session.dataCentre()))
                    .flatMap(session -> mContext.state().tasksOn(session.vm()).stream())
                    .sorted(Comparator.comparing(TaskEntry::id))
                    .forEach(this::drain);
        }
        mAttempts.stopReplacedReplicas();
    }

    private void drain(TaskEntry task) {
        if (task.isPlaced()) {
            mAttempts.end(task, AttemptEnd.NOT_STARTED, "the data centre is out of service");
        } else if (!task.job().isService()) {
            mAttempts.checkpoint(task, "the data centre is out of service");
        } else if (!task.isCancelling()) {
            mAttempts.replaceBeforeStop(task);
        }
    }
}
