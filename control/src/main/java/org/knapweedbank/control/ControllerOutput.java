package org.knapweedbank.control;

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
     * Tells how many records wait for their commit.
     *
     * @return the number
     */
    int pendingAppends();
}
