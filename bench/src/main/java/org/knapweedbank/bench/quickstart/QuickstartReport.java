package org.knapweedbank.bench.quickstart;

import java.util.Map;

/**
 * Result of a quickstart run. The invariants are checked against what the stand-ins executed.
 *
 * @param requests number of requests sent through the entries
 * @param answered number of requests with a complete answer
 * @param notRun number of requests refused as not executed
 * @param unknown number of requests with an unknown outcome, including broken connections
 * @param truncated number of incomplete answers that were presented as complete
 * @param wrongAnswers number of answers that belong to another request
 * @param nonIdempotentRunTwice number of idempotency keys that upstreams executed more than once
 * @param falseNotRun number of requests refused as not executed that an upstream did execute
 * @param streamsLost number of event streams with a missing or duplicate event
 * @param jobsSubmitted number of submitted batch jobs
 * @param jobsFinishedOnce number of jobs whose tasks all finished exactly once
 * @param jobsLost number of jobs that have not finished
 * @param jobsDoubled number of jobs with a task that finished twice or ran in two places at once
 * @param startsInRemovedDataCentre number of starts in the removed data centre later than 3 s after
 *     its removal
 * @param cutByPlannedStop number of requests that a planned stop interrupted, and of daemons that
 *     did not stop in time
 * @param p50Ms median latency of idempotent requests through the entries, in milliseconds
 * @param p99Ms 99th percentile of the same latency, in milliseconds
 * @param directP50Ms median latency of the same requests sent straight to the upstreams, in
 *     milliseconds
 * @param directP99Ms 99th percentile of the direct latency, in milliseconds
 * @param latencies latencies by phase of the load
 * @param taskStarts number of attempts that the workers started
 * @param checkpoints number of attempts that ended with a checkpoint
 * @param streamEvents number of events received on all streams
 * @param passed true if every invariant holds and at least one request was answered
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
