package org.knapweedbank.wire;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.apache.commons.codec.digest.MurmurHash3;
import org.knapweedbank.model.TaskId;

/**
 * Digest of the attempts that hold resources on a VM, as computed by the agent and by the owner of
 * its partition. It does not depend on the order of the attempts and can be kept up to date by
 * adding and subtracting the values of single attempts. Attempts that have ended do not count: they
 * are reported until acknowledged.
 */
public final class TaskDigest {
    /** Digest of no attempts. */
    public static final long EMPTY = 0;

    private TaskDigest() {}

    /**
     * Value of one attempt.
     *
     * @param task the task
     * @param attempt attempt number
     * @return the value to add to or subtract from a digest
     */
    public static long of(TaskId task, int attempt) {
        byte[] bytes = (task + "#" + attempt).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes)[0];
    }

    /**
     * Digest of attempts.
     *
     * @param tasks attempts; those that have ended are left out
     * @return the digest
     */
    public static long of(Collection<TaskHeld> tasks) {
        return tasks.stream()
                .filter(held -> !held.state().ended())
                .mapToLong(held -> of(held.task(), held.attempt()))
                .sum();
    }
}
