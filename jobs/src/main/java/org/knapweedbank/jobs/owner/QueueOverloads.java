package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.QueueKey;

/** Logs when jobs of a queue begin to be refused and when they are no longer refused. */
final class QueueOverloads {
    /** Time without a refusal after which a queue is in its normal state, in milliseconds. */
    private static final long NORMAL_AFTER_MILLIS = 10_000;

    private final DecisionLog mLog;
    private final Map<QueueKey, Overload> mOverloads = new HashMap<>();

    QueueOverloads(DecisionLog log) {
        mLog = log;
    }

    void refused(QueueKey queue, long now) {
        Overload previous = mOverloads.get(queue);
        if (previous == null) {
            mLog.record("admission.overloaded", queue.toString());
            mOverloads.put(queue, new Overload(now, now, 1));
        } else {
            mOverloads.put(queue, new Overload(previous.since(), now, previous.refused() + 1));
        }
    }

    void update(long now) {
        List.copyOf(mOverloads.keySet()).stream()
                .filter(queue -> now - mOverloads.get(queue).latest() >= NORMAL_AFTER_MILLIS)
                .forEach(queue -> logNormal(queue, mOverloads.remove(queue)));
    }

    private void logNormal(QueueKey queue, Overload overload) {
        mLog.record(
                "admission.normal",
                queue.toString(),
                "overloaded_ms",
                overload.latest() - overload.since(),
                "refused",
                overload.refused());
    }

    /** Time in milliseconds of the first and latest refusal, and the number of refusals. */
    private record Overload(long since, long latest, long refused) {}
}
