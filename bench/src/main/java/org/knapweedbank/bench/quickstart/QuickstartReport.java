package org.knapweedbank.bench.quickstart;

import java.util.Map;

/**
 * Result of a quickstart run. The invariants are counted from what the stand-ins executed.
 *
 * @param requests requests sent through the entries
 * @param answered requests with a whole answer
 * @param notRun requests refused as not run
 * @param unknown requests with an unknown outcome, broken connections included
 * @param truncated incomplete answers presented as complete
 * @param wrongAnswers answers to another request
 * @param nonIdempotentRunTwice keys that upstreams executed more than once
 * @param falseNotRun requests refused as not run that an upstream executed
 * @param streamsLost event streams with a missing or doubled event
 * @param jobsSubmitted batch jobs submitted
 * @param jobsFinishedOnce jobs whose tasks all finished exactly once
 * @param jobsLost jobs that have not finished
 * @param jobsDoubled jobs of which a task finished twice or ran in two places
 * @param startsInRemovedDataCentre starts more than 3 s after the data centre was taken out
 * @param cutByPlannedStop requests in flight that a planned stop cut
 * @param p50Ms median latency of idempotent requests through the entries, in milliseconds
 * @param p99Ms 99th percentile of it
 * @param directP50Ms median latency of the same requests sent straight to the upstreams
 * @param directP99Ms 99th percentile of it
 * @param latencies the same by phase of the load
 * @param taskStarts attempts started by the workers
 * @param checkpoints attempts that ended with a checkpoint
 * @param streamEvents events received on all streams
 * @param passed true if every invariant holds
 */
record QuickstartReport(
        long requests,
        long answered,
        long notRun,
        long unknown,
        long truncated,
        long wrongAnswers,
        long nonIdempotentRunTwice,
        long falseNotRun,
        long streamsLost,
        long jobsSubmitted,
        long jobsFinishedOnce,
        long jobsLost,
        long jobsDoubled,
        long startsInRemovedDataCentre,
        long cutByPlannedStop,
        double p50Ms,
        double p99Ms,
        double directP50Ms,
        double directP99Ms,
        Map<LoadPhase, PhaseLatency.Summary> latencies,
        long taskStarts,
        long checkpoints,
        long streamEvents,
        boolean passed) {}
