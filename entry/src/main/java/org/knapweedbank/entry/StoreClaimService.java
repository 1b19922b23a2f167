package org.knapweedbank.entry;

import io.smallrye.mutiny.Uni;
import org.knapweedbank.store.claim.Claim;
import org.knapweedbank.store.claim.ClaimRequest;
import org.knapweedbank.store.claim.ClaimResult;
import org.knapweedbank.store.claim.ClaimStore;
import org.knapweedbank.store.claim.ReleaseResult;

/** Claims in the key-value service. */
public final class StoreClaimService implements ClaimService {
    private final ClaimStore mStore;

    /**
     * Creates the adapter.
     *
     * @param store the claims; driven by its owner
     */
    public StoreClaimService(ClaimStore store) {
        mStore = store;
    }

    @Override
    public Uni<ClaimResult> claim(ClaimRequest request) {
        return mStore.claim(request);
    }

    @Override
    public Uni<Boolean> release(Claim claim) {
        return mStore.release(claim).map(result -> !(result instanceof ReleaseResult.Failed));
    }
}
