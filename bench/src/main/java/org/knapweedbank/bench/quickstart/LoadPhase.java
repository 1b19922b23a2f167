package org.knapweedbank.bench.quickstart;

/**
 * Phases of the load, whose latencies are reported separately because they have different causes.
 */
enum LoadPhase {
    /** First seconds, during which connections are opened and code is compiled. */
    WARM_UP,
    /** Load on an unchanged deployment. */
    CALM,
    /**
     * Load while a data centre is removed and returned, an agent is killed and daemons are stopped.
     */
    CHANGES
}
