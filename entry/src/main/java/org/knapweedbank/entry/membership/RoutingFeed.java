package org.knapweedbank.entry.membership;

import io.vertx.core.Context;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.knapweedbank.entry.upstream.RoutingState;
import org.knapweedbank.entry.upstream.UpstreamKey;
import org.knapweedbank.wire.UpstreamRecord;

/**
 * Passes changed records from the membership duty to the routing event loop. Only the last record
 * of each upstream is kept, so the memory is bounded by the number of upstreams.
 */
final class RoutingFeed {
    private final Map<UpstreamKey, UpstreamRecord> mPending = new ConcurrentHashMap<>();
    private final AtomicBoolean mScheduled = new AtomicBoolean();
    private final Context mContext;
    private final RoutingState mRouting;

    RoutingFeed(Context context, RoutingState routing) {
        mContext = context;
        mRouting = routing;
    }

    void put(UpstreamRecord record) {
        mPending.put(UpstreamKey.of(record), record);
        if (mScheduled.compareAndSet(false, true)) {
            mContext.runOnContext(ignored -> drain());
        }
    }

    private void drain() {
        mScheduled.set(false);
        Iterator<UpstreamKey> keys = mPending.keySet().iterator();
        while (keys.hasNext()) {
            UpstreamRecord record = mPending.remove(keys.next());
            if (record != null) {
                mRouting.put(record);
            }
        }
    }
}
