package org.knapweedbank.agent;

import java.time.Duration;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.UpstreamState;

/**
 * Table of the upstreams that have announced themselves. An announcement is valid for six seconds,
 * three times the interval at which upstreams repeat it. Not thread-safe.
 */
final class AnnouncementTable {
    static final Duration VALIDITY = Duration.ofSeconds(6);

    /** Maximum number of upstreams of one agent; a VM has room for only a few. */
    static final int MAX_UPSTREAMS = 64;

    private record Key(String service, String address) {}

    private final Clock mClock;
    private final Consumer<UpstreamState> mChangeListener;
    private final Map<Key, Upstream> mUpstreams = new LinkedHashMap<>();
    private long mSeq;
    private boolean mAgentLeaving;

    /**
     * Creates an empty table.
     *
     * @param changeListener receives each changed state of an upstream
     */
    AnnouncementTable(Clock clock, Consumer<UpstreamState> changeListener) {
        mClock = clock;
        mChangeListener = changeListener;
    }

    /**
     * Adds or updates the upstream of an announcement and extends its validity.
     *
     * @throws AnnouncementException if there are too many upstreams
     */
    Upstream announce(Announcement announcement) throws AnnouncementException {
        expire();
        Key key = new Key(announcement.service(), announcement.address());
        Upstream upstream = mUpstreams.get(key);
        if (upstream == null) {
            if (mUpstreams.size() >= MAX_UPSTREAMS) {
                throw new AnnouncementException(
                        "more than " + MAX_UPSTREAMS + " upstreams are announced");
            }
            upstream = new Upstream(state(announcement), mClock);
            mUpstreams.put(key, upstream);
            mChangeListener.accept(upstream.state());
        } else if (differs(upstream.state(), announcement)) {
            change(upstream, state(announcement));
        }
        upstream.extendValidity(mClock.monotonicNanos() + VALIDITY.toNanos());
        return upstream;
    }

    /**
     * Marks the upstreams whose announcement has expired as gone. They remain in the table until
     * their requests have ended, so that an upstream that announces itself again keeps the count of
     * its occupied slots.
     */
    void expire() {
        long now = mClock.monotonicNanos();
        Iterator<Upstream> upstreams = mUpstreams.values().iterator();
        while (upstreams.hasNext()) {
            Upstream upstream = upstreams.next();
            UpstreamState state = upstream.state();
            if (!state.gone() && upstream.validUntilNanos() - now <= 0) {
                change(upstream, nextState(state, state.leaving(), true));
            }
            if (upstream.state().gone() && upstream.slots().isIdle()) {
                upstreams.remove();
            }
        }
    }

    /**
     * Marks all upstreams as leaving, including those announced later, because the agent is
     * stopping.
     */
    void markAllLeaving() {
        mAgentLeaving = true;
        for (Upstream upstream : mUpstreams.values()) {
            if (!upstream.state().leaving() && !upstream.state().gone()) {
                change(upstream, nextState(upstream.state(), true, false));
            }
        }
    }

    /** Returns the upstream of a service that accepts requests and has the fewest running ones. */
    Optional<Upstream> select(String service) {
        return mUpstreams.values().stream()
                .filter(u -> u.acceptsRequests() && u.state().service().equals(service))
                .min(Comparator.comparingInt(u -> u.slots().load().running()));
    }

    /** Returns an upstream of a service in any state; its load is reported with a refusal. */
    Optional<Upstream> findAny(String service) {
        return mUpstreams.values().stream()
                .filter(u -> u.state().service().equals(service))
                .findFirst();
    }

    List<Upstream> upstreams() {
        return List.copyOf(mUpstreams.values());
    }

    private void change(Upstream upstream, UpstreamState state) {
        upstream.update(state);
        mChangeListener.accept(state);
    }

    private boolean differs(UpstreamState state, Announcement announcement) {
        return state.gone()
                || state.slots() != announcement.slots()
                || state.connections() != announcement.connections()
                || state.leaving() != (announcement.leaving() || mAgentLeaving);
    }

    private UpstreamState state(Announcement announcement) {
        return new UpstreamState(
                announcement.service(),
                announcement.address(),
                announcement.slots(),
                announcement.connections(),
                announcement.leaving() || mAgentLeaving,
                false,
                ++mSeq);
    }

    /** Returns a copy of a state with a new status and the next sequence number. */
    private UpstreamState nextState(UpstreamState old, boolean leaving, boolean gone) {
        return new UpstreamState(
                old.service(),
                old.address(),
                old.slots(),
                old.connections(),
                leaving,
                gone,
                ++mSeq);
    }
}
