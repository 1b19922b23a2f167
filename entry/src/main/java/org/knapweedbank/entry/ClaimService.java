package org.knapweedbank.entry;

import io.smallrye.mutiny.Uni;
import org.knapweedbank.store.claim.Claim;
import org.knapweedbank.store.claim.ClaimRequest;
import org.knapweedbank.store.claim.ClaimResult;

/** Claims idempotency keys for attempts. Results may be delivered on any thread. */
public interface ClaimService {
    /**
     * Claims an idempotency key for an attempt.
     *
     * @param request the key and the attempt
     * @return the result; a failure of the Uni is treated as an unknown result
     */
    Uni<ClaimResult> claim(ClaimRequest request);

    /**
     * Releases a claim whose attempt is known not to have run.
     *
     * @param claim the claim
     * @return true if the attempt no longer holds the key
     */
    Uni<Boolean> release(Claim claim);
}
