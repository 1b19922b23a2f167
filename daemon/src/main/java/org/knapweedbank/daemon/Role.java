package org.knapweedbank.daemon;

import io.smallrye.mutiny.Uni;

/** Running role of a daemon. */
interface Role {
    /**
     * Starts the role.
     *
     * @return completes when it serves; fails when it cannot
     */
    Uni<Void> start();

    /**
     * Stops the role gracefully.
     *
     * @return completes when everything is closed
     */
    Uni<Void> stop();
}
