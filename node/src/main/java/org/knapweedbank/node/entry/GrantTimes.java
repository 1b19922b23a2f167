package org.knapweedbank.node.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Times at which the owner granted the requests of an agent on one link. A list that the agent
 * requested after it had received a grant is younger than that grant, however long its own calls
 * and messages took.
 */
final class GrantTimes {
    private static final int MAX_REMEMBERED_GRANTS = 64;

    private final Deque<Grant> mGrants = new ArrayDeque<>();

    private record Grant(long mNumber, long mSentAtMillis) {}

    /** Records that a grant is sent at a monotonic time in milliseconds. */
    void add(long number, long sentAtMillis) {
        mGrants.add(new Grant(number, sentAtMillis));
        if (mGrants.size() > MAX_REMEMBERED_GRANTS) {
            mGrants.poll();
        }
    }

    /** Returns when a grant was first sent, empty if it was not sent on this link or long ago. */
    OptionalLong sentAtMillis(long number) {
        return mGrants.stream()
                .filter(grant -> grant.mNumber() == number)
                .mapToLong(Grant::mSentAtMillis)
                .findFirst();
    }
}
