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
 * Passes changed upstream records from the membership thread to the routing event loop. Only the
 * latest record of each upstream is queued, so the memory is bounded by the number of upstreams.
 */
final class RoutingUpdateQueue {
    private final Map<UpstreamKey, UpstreamRecord> mPending = new ConcurrentHashMap<>();
    private final AtomicBoolean mDrainScheduled = new AtomicBoolean();
    private final Context mRoutingLoop;
    private final RoutingState mRoutingState;

    RoutingUpdateQueue(Context routingLoop, RoutingState routingState) {
        mRoutingLoop = routingLoop;
        mRoutingState = routingState;
    }

    /**
     * Queues a record, replacing a queued record of the same upstream.
     *
     * @param record newest record of the upstream
     */
    void enqueue(UpstreamRecord record) {
        mPending.put(UpstreamKey.of(record), record);
        if (mDrainScheduled.compareAndSet(false, true)) {
            mRoutingLoop.runOnContext(ignored -> drain());
        }
    }

    /** Applies the queued records to the routing state; called on the routing event loop. */
    private void drain() {
        mDrainScheduled.set(false);
        Iterator<UpstreamKey> keys = mPending.keySet().iterator();
        while (keys.hasNext()) {
            UpstreamRecord record = mPending.remove(keys.next());
            if (record != null) {
                mRoutingState.putRecord(record);
            }
        }
    }
}
