package org.knapweedbank.entry;

import io.smallrye.mutiny.Uni;
import org.knapweedbank.store.claim.Claim;
import org.knapweedbank.store.claim.ClaimRequest;
import org.knapweedbank.store.claim.ClaimResult;
import org.knapweedbank.store.claim.ClaimStore;
import org.knapweedbank.store.claim.ReleaseResult;

/** Claim service backed by the key-value store. */
public final class StoreClaimService implements ClaimService {
    private final ClaimStore mStore;

    /**
     * Creates the service.
     *
     * @param store store of the claims, whose life cycle is managed by the caller of this
     *     constructor
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
