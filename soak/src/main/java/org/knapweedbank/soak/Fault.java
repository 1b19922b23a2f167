package org.knapweedbank.soak;

/** A fault of the soak; a process or worker is named by its number. */
sealed interface Fault {
    /** A worker crashes and starts again under its identifier. */
    record WorkerRestart(int worker, long downMillis, long firstReportMillis) implements Fault {}

    /** A worker fails what it starts. */
    record WorkerFailures(int worker, long millis) implements Fault {}

    /** A worker leaves, with or without a confirmation of its notice, and starts again. */
    record WorkerDeparture(int worker, boolean confirmed, long downMillis) implements Fault {}

    /** The owner, an agent and its worker are lost together and return much later. */
    record DataCentreLoss(int worker, long downMillis) implements Fault {}

    /** All open connections to workers and to the store go silent at once. */
    record SilentConnections() implements Fault {}

    /** The owner ends by a signal and starts again. */
    record OwnerEnd(ProcessSignal signal, long downMillis) implements Fault {}

    /** An agent is killed and starts again. */
    record AgentKill(int agent, long downMillis) implements Fault {}

    /** The owner or, if not, an agent is paused. */
    record Pause(boolean owner, int agent, long millis) implements Fault {}

    /** Calls to a worker are delayed. */
    record WorkerDelay(int worker, ProxyDelays delays, long millis) implements Fault {}

    /** Connections to a worker are reset or, if not, silenced. */
    record WorkerCut(int worker, boolean reset, double share) implements Fault {}

    /** Connections of one process to the store are reset or, if not, silenced. */
    record StoreCut(int process, boolean reset) implements Fault {}

    /** The store refuses all calls or answers none. */
    record StoreOutage(StoreStandIn.Mode mode, long millis) implements Fault {}
}
