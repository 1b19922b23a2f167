package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.ToLongFunction;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.link.NodeMessage;

/**
 * Statements of entries that they answer no earlier owner any more, with the time for which they
 * have been registered. An entry may not have noticed yet that the store has lost its key, so a
 * statement counts only once the store has shown the key unchanged in the owner's term.
 */
final class StatedRegistrations {
    private final Duration mMaxStoreSilence;
    private final Map<DaemonId, Statement> mStatements = new HashMap<>();

    private record Statement(long mRevision, long mRegisteredAtMillis, long mStatedAtMillis) {}

    /**
     * Creates an empty collection.
     *
     * @param maxStoreSilence how long an owner goes on that has not heard of the store
     */
    StatedRegistrations(Duration maxStoreSilence) {
        mMaxStoreSilence = maxStoreSilence;
    }

    void add(DaemonId entry, NodeMessage.Registration registration, long nowMillis) {
        long registeredAtMillis = nowMillis - registration.registeredMillis();
        mStatements.put(
                entry, new Statement(registration.revision(), registeredAtMillis, nowMillis));
    }

    /**
     * Returns the monotonic time in milliseconds after which no earlier owner can be confirmed, as
     * it needs the answers of an entry that has made a statement, or has not heard of the store
     * since that registered; empty if no statement counts.
     *
     * @param revisions returns the revision of an entry's key, 0 if there is none, in a view of the
     *     owner's term
     */
    OptionalLong confirmableUntil(ToLongFunction<DaemonId> revisions) {
        return mStatements.entrySet().stream()
                .filter(
                        statement ->
                                revisions.applyAsLong(statement.getKey())
                                        == statement.getValue().mRevision())
                .mapToLong(statement -> confirmableUntil(statement.getValue()))
                .min();
    }

    private long confirmableUntil(Statement statement) {
        return Math.max(
                statement.mStatedAtMillis(),
                statement.mRegisteredAtMillis() + mMaxStoreSilence.toMillis());
    }
}
