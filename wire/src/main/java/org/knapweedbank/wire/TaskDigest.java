package org.knapweedbank.wire;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.apache.commons.codec.digest.MurmurHash3;
import org.knapweedbank.model.TaskId;

/**
 * Digest of the attempts that hold resources on a VM. The agent and the owner of the partition both
 * compute it, and a mismatch shows that they hold different attempts. The digest is the sum of the
 * hashes of the attempts, so it does not depend on their order and can be updated by adding or
 * subtracting single hashes. Attempts that have ended are left out, because the agent repeats their
 * reports until they are acknowledged.
 */
public final class TaskDigest {
    /** Digest if there are no attempts. */
    public static final long EMPTY = 0;

    private TaskDigest() {}

    /**
     * Returns the hash of one attempt.
     *
     * @param task the task
     * @param attempt number of the attempt at the task
     * @return the value to add to a digest or to subtract from it
     */
    public static long of(TaskId task, int attempt) {
        byte[] bytes = (task + "#" + attempt).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes)[0];
    }

    /**
     * Returns the digest of attempts.
     *
     * @param tasks the attempts; those that have ended are left out
     * @return the digest
     */
    public static long of(Collection<TaskHeld> tasks) {
        return tasks.stream()
                .filter(held -> !held.state().hasEnded())
                .mapToLong(held -> of(held.task(), held.attempt()))
                .sum();
    }
}
