package org.knapweedbank.entry;

import io.smallrye.mutiny.Uni;

/** Claims of idempotency keys. The results may arrive on any thread. */
public interface ClaimService {
    /**
     * Claims a key.
     *
     * @param service service that the key belongs to
     * @param key key given by the caller
     * @param attemptId attempt that claims the key
     * @param agent agent that is meant to get the request
     * @return the result; a failure of the Uni counts as unknown
     */
    Uni<ClaimResult> claim(String service, String key, String attemptId, String agent);

    /**
     * Releases a key if the attempt holds it.
     *
     * @param service service that the key belongs to
     * @param key key given by the caller
     * @param attemptId attempt that claimed the key
     * @return true if the key is free or held by another attempt
     */
    Uni<Boolean> release(String service, String key, String attemptId);
}
