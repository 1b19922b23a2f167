package org.knapweedbank.node.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.Timestamp;

/**
 * Queries of the owner to the other entries whether they have begun a later term. Once all have
 * answered one, none had when it was sent.
 */
final class TermPoll {
    private static final int MAX_OPEN_QUERIES = 8;

    private final Clock mClock;
    private final Deque<Query> mOpenQueries = new ArrayDeque<>();
    private long mLastNumber;

    TermPoll(Clock clock) {
        mClock = clock;
    }

    private record Query(long mNumber, Timestamp mSentAt, Set<DaemonId> mUnanswered) {}

    /** Opens a query that the given entries have to answer, and returns its number. */
    long open(Set<DaemonId> entries) {
        mLastNumber++;
        mOpenQueries.add(new Query(mLastNumber, Timestamp.now(mClock), new HashSet<>(entries)));
        if (mOpenQueries.size() > MAX_OPEN_QUERIES) {
            mOpenQueries.poll();
        }
        return mLastNumber;
    }

    /**
     * Handles the answer of an entry that it has begun no later term.
     *
     * @return when the query was sent, if all entries have answered it now
     */
    Optional<Timestamp> handleAnswer(long number, DaemonId entry) {
        Optional<Query> answered =
                mOpenQueries.stream().filter(query -> query.mNumber() == number).findFirst();
        answered.ifPresent(query -> query.mUnanswered().remove(entry));
        Optional<Query> complete = answered.filter(query -> query.mUnanswered().isEmpty());
        complete.ifPresent(done -> mOpenQueries.removeIf(q -> q.mNumber() <= done.mNumber()));
        return complete.map(Query::mSentAt);
    }
}
