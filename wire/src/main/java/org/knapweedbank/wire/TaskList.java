package org.knapweedbank.wire;

import java.util.List;

/**
 * All attempts that a VM holds.
 *
 * @param epoch epoch that the agent accepts
 * @param seq sequence number of the last heartbeat sent before this list
 * @param tasks the attempts
 */
public record TaskList(long epoch, long seq, List<TaskHeld> tasks) implements Message {
    /** Copies the lists. */
    public TaskList {
        tasks = List.copyOf(tasks);
    }
}
