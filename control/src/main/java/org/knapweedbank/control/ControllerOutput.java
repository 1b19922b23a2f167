package org.knapweedbank.control;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedbank.worker.TaskStatus;

/** Output of a partition controller; the host of the controller carries out the effects. */
public interface ControllerOutput {
    /**
     * Appends a record to the journal.
     *
     * @param record record to append
     * @param committed callback that runs on the control thread once the record is in the store; it
     *     never runs if another owner has taken the partition
     * @return false if the journal currently takes no more records; the record was not appended
     *     then
     */
    boolean append(JournalRecord record, Runnable committed);

    /**
     * Asks the worker of a VM whose agent is unreachable for the attempts that it knows.
     *
     * @param address HOST:PORT of the worker
     * @param reply callback that receives the attempts on the control thread, or empty if the
     *     worker gave no answer
     */
    default void listWorker(String address, Consumer<Optional<List<TaskStatus>>> reply) {
        reply.accept(Optional.empty());
    }

    /**
     * Returns the number of appended records that are not committed yet.
     *
     * @return the number of records
     */
    int pendingAppendCount();
}
