package org.knapweedbank.daemon;

import io.smallrye.mutiny.Uni;

/** Role of a daemon, such as entry or agent, that can be started and stopped. */
interface Role {
    /**
     * Starts the role.
     *
     * @return completes when the role accepts requests; fails if the role cannot start
     */
    Uni<Void> start();

    /**
     * Stops the role gracefully.
     *
     * @return completes when all resources are closed
     */
    Uni<Void> stop();
}
