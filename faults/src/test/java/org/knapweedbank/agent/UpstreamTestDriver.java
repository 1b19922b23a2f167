package org.knapweedbank.agent;

import java.util.List;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.UpstreamState;

/** Gives the fault matrix the announcement table and the upstream feed of an agent. */
public final class UpstreamTestDriver {
    private final UpstreamFeed mFeed = new UpstreamFeed();
    private final AnnouncementTable mTable;

    public UpstreamTestDriver(Clock clock) {
        mTable = new AnnouncementTable(clock, mFeed::changed);
    }

    public void announce(String address, boolean leaving) {
        try {
            mTable.announce(new Announcement("svc", address, 8, 64, leaving));
        } catch (AnnouncementException e) {
            throw new IllegalStateException(e);
        }
    }

    public void expireAnnouncements() {
        mTable.expire();
    }

    public boolean hasSelectableUpstream() {
        return mTable.select("svc").isPresent();
    }

    public void startSession() {
        mFeed.sessionOpened();
    }

    public List<UpstreamState> takeChanges(long seq) {
        return mFeed.take(seq);
    }

    public void acknowledge(long seq) {
        mFeed.acknowledged(seq);
    }
}
