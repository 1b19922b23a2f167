package org.knapweedbank.wire;

import java.util.List;

/**
 * Lists all attempts that a VM holds, in reply to {@link TaskListRequest}.
 *
 * @param epoch epoch of the owner that the agent has accepted
 * @param seq sequence number of the last heartbeat sent before this list
 * @param tasks the attempts
 */
public record TaskList(long epoch, long seq, List<TaskHeld> tasks) implements Message {
    /** Makes unmodifiable copies of the lists. */
    public TaskList {
        tasks = List.copyOf(tasks);
    }
}
