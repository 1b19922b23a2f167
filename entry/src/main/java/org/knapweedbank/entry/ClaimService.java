package org.knapweedbank.entry;

import io.smallrye.mutiny.Uni;
import org.knapweedbank.store.claim.Claim;
import org.knapweedbank.store.claim.ClaimRequest;
import org.knapweedbank.store.claim.ClaimResult;

/** Claims of idempotency keys. The results may arrive on any thread. */
public interface ClaimService {
    /**
     * Claims a key.
     *
     * @param request the key and the attempt
     * @return the result; a failure of the Uni counts as unknown
     */
    Uni<ClaimResult> claim(ClaimRequest request);

    /**
     * Releases a claim whose attempt is proven not to have run.
     *
     * @param claim the claim
     * @return true if this attempt no longer holds the key
     */
    Uni<Boolean> release(Claim claim);
}
