package org.knapweedbank.faults.request;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.claim.ClaimSettings;
import org.knapweedbank.store.claim.ClaimStore;
import org.knapweedbank.time.Clock;

/** One incarnation of an entry as far as requests need it. */
final class SimRequestEntry {
    private final RequestCellRun mCellRun;
    private final String mName;
    private final SimProcess mProcess;
    private final Clock mClock;
    private final ClaimStore mClaimStore;
    private final SimUpstreamPool mPool;
    private final Map<String, SimConnection> mConnections = new LinkedHashMap<>();
    private final Set<SimExchange> mExchanges = new LinkedHashSet<>();
    private final String mIncarnation;
    private int mNextExchange;

    SimRequestEntry(RequestCellRun cellRun, String name, Clock clock, KeyValueStore store) {
        mCellRun = cellRun;
        mName = name;
        mClock = clock;
        mProcess = new SimProcess(cellRun.simulation(), name);
        mClaimStore = new ClaimStore(store, clock, ClaimSettings.standard());
        mPool = new SimUpstreamPool(cellRun.simulation().random());
        mIncarnation = name + "-" + cellRun.simulation().nowNanos();
        mProcess.scheduleRepeating(Duration.ofMillis(10), mClaimStore::tick);
        mProcess.scheduleRepeating(Duration.ofMillis(200), this::openMissingConnections);
        openMissingConnections();
    }

    private void openMissingConnections() {
        for (SimRequestAgent agent : mCellRun.agents()) {
            SimConnection existing = mConnections.get(agent.name());
            boolean needed = existing == null || existing.isClosed();
            if (needed && agent.process().isAlive() && !mCellRun.isPathCut(agent.name(), true)) {
                mConnections.put(agent.name(), new SimConnection(mCellRun, this, agent));
            }
        }
    }

    String name() {
        return mName;
    }

    SimProcess process() {
        return mProcess;
    }

    Clock clock() {
        return mClock;
    }

    ClaimStore claimStore() {
        return mClaimStore;
    }

    SimUpstreamPool pool() {
        return mPool;
    }

    /** The open connection to an agent, or null. */
    SimConnection openConnection(String agent) {
        SimConnection connection = mConnections.get(agent);
        return connection == null || connection.isClosed() ? null : connection;
    }

    void submit(Submission submission) {
        SimExchange exchange =
                new SimExchange(mCellRun, this, submission, mIncarnation + "-" + mNextExchange++);
        mExchanges.add(exchange);
        exchange.start();
    }

    List<SimExchange> exchanges() {
        return List.copyOf(mExchanges);
    }

    void closeConnection(String agent) {
        SimConnection connection = mConnections.get(agent);
        if (connection != null) {
            connection.close();
        }
    }

    void kill() {
        mProcess.kill();
        mConnections.values().forEach(SimConnection::close);
    }
}
