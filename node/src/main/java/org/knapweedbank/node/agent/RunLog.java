package org.knapweedbank.node.agent;

import java.util.OptionalLong;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.node.agent.RunTable.Run;

/**
 * Writes the agent's decisions about runs to the decision log, with the incarnation of the worker
 * and the list that they rest on.
 */
final class RunLog {
    private final DecisionLog mLog;

    RunLog(DecisionLog log) {
        mLog = log;
    }

    void removed(Run run, String reason) {
        mLog.record("task.removed", run.mTask, "run", run.mNumber, "reason", reason);
    }

    void notStarted(Run run, String reason) {
        mLog.record("task.not_started", run.mTask, "run", run.mNumber, "reason", reason);
    }

    void refused(StartOrder order, StartOutcome outcome, String reason) {
        mLog.record(
                "task.start",
                order.task(),
                "run",
                order.run(),
                "outcome",
                outcome,
                "reason",
                reason);
    }

    void started(Run run, WorkerId worker, StartReply.Started reply) {
        mLog.record(
                "task.start",
                run.mTask,
                "run",
                run.mNumber,
                "outcome",
                StartOutcome.STARTED,
                "worker",
                worker,
                "answered_by",
                optionalText(reply.incarnation()),
                "worker_clock",
                optionalText(reply.workerClockMillis()));
    }

    void unanswered(Run run, StartReply.NoAnswer reply) {
        mLog.record(
                "task.start_unanswered",
                run.mTask,
                "run",
                run.mNumber,
                "worker",
                run.mOrderedFrom,
                "deadline",
                run.mDeadlineMillis,
                "cause",
                reply.reason());
    }

    /** Logs the answer to an order that the agent has given up. */
    void answerIgnored(Run run, StartReply reply) {
        mLog.record("task.start_ignored", run.mTask, "run", run.mNumber, "answer", reply);
    }

    /** Logs a report to the owner. */
    void reported(
            WorkerId worker,
            long term,
            Reported extent,
            long listAgeMillis,
            long workerClockMillis,
            RunTable runs) {
        mLog.record(
                "worker.reported",
                worker,
                "term",
                term,
                "extent",
                extent,
                "list_age_ms",
                listAgeMillis,
                "worker_clock",
                workerClockMillis,
                "starting",
                runs.starting().size(),
                "running",
                runs.running().size(),
                "ended",
                runs.unacknowledged().size());
    }

    private static String optionalText(OptionalLong value) {
        return value.isPresent() ? Long.toString(value.getAsLong()) : "unknown";
    }
}
