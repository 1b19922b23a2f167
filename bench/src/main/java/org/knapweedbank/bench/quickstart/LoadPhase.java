package org.knapweedbank.bench.quickstart;

/** Part of the time under load, so that latencies of different causes are told apart. */
enum LoadPhase {
    /** First seconds, in which connections are opened and code is compiled. */
    WARM_UP,
    /** Load without changes. */
    CALM,
    /** A data centre leaves and returns, an agent is killed, daemons stop. */
    CHANGES
}
