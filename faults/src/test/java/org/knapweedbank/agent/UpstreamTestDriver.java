package org.knapweedbank.agent;

import java.util.List;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.UpstreamState;

/**
 * Gives the fault matrix access to the package-private announcement table and upstream feed of an
 * agent.
 */
public final class UpstreamTestDriver {
    private final UpstreamStateReporter mFeed = new UpstreamStateReporter();
    private final AnnouncementTable mTable;

    public UpstreamTestDriver(Clock clock) {
        mTable = new AnnouncementTable(clock, mFeed::recordChange);
    }

    /**
     * Announces an upstream of the service {@code svc} to the agent.
     *
     * @param leaving whether the upstream accepts no new requests
     */
    public void announce(String address, boolean leaving) {
        try {
            mTable.announce(new Announcement("svc", address, 8, 64, leaving));
        } catch (AnnouncementException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Removes upstreams whose announcements have expired. */
    public void expireAnnouncements() {
        mTable.expire();
    }

    /** Returns whether the agent has an upstream for new requests of the service. */
    public boolean hasSelectableUpstream() {
        return mTable.select("svc").isPresent();
    }

    /** Marks the start of a session, after which all upstreams are reported again. */
    public void startSession() {
        mFeed.sessionOpened();
    }

    /** Returns the changes to report in the heartbeat with a sequence number. */
    public List<UpstreamState> takeChanges(long seq) {
        return mFeed.statesForHeartbeat(seq);
    }

    /** Marks the changes of the heartbeat with a sequence number as received. */
    public void acknowledge(long seq) {
        mFeed.acknowledged(seq);
    }
}
