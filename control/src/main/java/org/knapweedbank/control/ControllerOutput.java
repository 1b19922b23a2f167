package org.knapweedbank.control;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedbank.worker.TaskStatus;

/** Effects of a partition controller, carried out by its host. */
public interface ControllerOutput {
    /**
     * Appends a record to the journal.
     *
     * @param record the record
     * @param committed runs on the control thread once the record is in the store; never runs when
     *     the partition has been taken by another owner
     * @return false if the journal takes no more records now; nothing has happened then
     */
    boolean append(JournalRecord record, Runnable committed);

    /**
     * Asks the worker of a VM, whose agent is gone, for the attempts that it knows.
     *
     * @param address HOST:PORT of the worker
     * @param reply told the attempts on the control thread, or empty when the worker gave no answer
     */
    default void listWorker(String address, Consumer<Optional<List<TaskStatus>>> reply) {
        reply.accept(Optional.empty());
    }

    /**
     * Tells how many records wait for their commit.
     *
     * @return the number
     */
    int pendingAppends();
}
