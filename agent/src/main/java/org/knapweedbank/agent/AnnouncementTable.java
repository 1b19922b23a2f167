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
 * Upstreams that have announced themselves. An announcement is valid for six seconds, three times
 * the interval of its repetition. Not thread-safe.
 */
final class AnnouncementTable {
    static final Duration VALIDITY = Duration.ofSeconds(6);

    /** Upstreams beside one agent; a VM has room for a few. */
    static final int MAX_UPSTREAMS = 64;

    private record Key(String service, String address) {}

    private final Clock mClock;
    private final Consumer<UpstreamState> mChanges;
    private final Map<Key, Upstream> mUpstreams = new LinkedHashMap<>();
    private long mSeq;
    private boolean mAgentLeaving;

    /** Creates a table that passes each change of a state on. */
    AnnouncementTable(Clock clock, Consumer<UpstreamState> changes) {
        mClock = clock;
        mChanges = changes;
    }

    /**
     * Takes an announcement.
     *
     * @throws AnnouncementException when there are too many upstreams
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
            mChanges.accept(upstream.state());
        } else if (differs(upstream.state(), announcement)) {
            change(upstream, state(announcement));
        }
        upstream.renew(mClock.monotonicNanos() + VALIDITY.toNanos());
        return upstream;
    }

    /**
     * Marks the upstreams whose announcement has lapsed as gone. They stay until their requests
     * have ended, so that one which announces itself again keeps the count of its slots.
     */
    void expire() {
        long now = mClock.monotonicNanos();
        Iterator<Upstream> upstreams = mUpstreams.values().iterator();
        while (upstreams.hasNext()) {
            Upstream upstream = upstreams.next();
            UpstreamState state = upstream.state();
            if (!state.gone() && upstream.validUntilNanos() - now <= 0) {
                change(upstream, next(state, state.leaving(), true));
            }
            if (upstream.state().gone() && upstream.slots().isIdle()) {
                upstreams.remove();
            }
        }
    }

    /** Marks all upstreams as leaving, also those announced later, because the agent stops. */
    void agentLeaves() {
        mAgentLeaving = true;
        for (Upstream upstream : mUpstreams.values()) {
            if (!upstream.state().leaving() && !upstream.state().gone()) {
                change(upstream, next(upstream.state(), true, false));
            }
        }
    }

    /** The least loaded upstream of a service that accepts requests. */
    Optional<Upstream> select(String service) {
        return mUpstreams.values().stream()
                .filter(u -> u.accepts() && u.state().service().equals(service))
                .min(Comparator.comparingInt(u -> u.slots().load().running()));
    }

    /** An upstream of a service in any state, for the load in a refusal. */
    Optional<Upstream> any(String service) {
        return mUpstreams.values().stream()
                .filter(u -> u.state().service().equals(service))
                .findFirst();
    }

    List<Upstream> upstreams() {
        return List.copyOf(mUpstreams.values());
    }

    private void change(Upstream upstream, UpstreamState state) {
        upstream.change(state);
        mChanges.accept(state);
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

    private UpstreamState next(UpstreamState old, boolean leaving, boolean gone) {
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
