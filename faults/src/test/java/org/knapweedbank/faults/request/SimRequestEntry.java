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

/** One incarnation of an entry, reduced to what requests need. */
final class SimRequestEntry {
    private final RequestCellRun mCellRun;
    private final String mName;
    private final SimProcess mProcess;
    private final Clock mClock;
    private final ClaimStore mClaimStore;
    private final SimUpstreamPool mPool;

    /** Latest connection to each agent, by agent name; it may be closed. */
    private final Map<String, SimConnection> mConnections = new LinkedHashMap<>();

    /** All exchanges of the incarnation, including finished ones. */
    private final Set<SimExchange> mExchanges = new LinkedHashSet<>();

    /** Name and start time, which make the attempt ids of incarnations distinct. */
    private final String mIncarnation;

    /** Index of the next exchange, which ends its attempt id. */
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

    /** Connects to each live and reachable agent to which there is no open connection. */
    private void openMissingConnections() {
        for (SimRequestAgent agent : mCellRun.agents()) {
            SimConnection existing = mConnections.get(agent.name());
            boolean needed = existing == null || existing.isClosed();
            if (needed && agent.process().isAlive() && !mCellRun.isPathCut(agent.name(), true)) {
                mConnections.put(agent.name(), new SimConnection(mCellRun, this, agent));
            }
        }
    }

    /** Returns the name that all incarnations of the entry share. */
    String name() {
        return mName;
    }

    /** Returns the process that the entry runs in. */
    SimProcess process() {
        return mProcess;
    }

    /** Returns the clock of the entry, which may drift. */
    Clock clock() {
        return mClock;
    }

    /** Returns the store of the claims of idempotency keys. */
    ClaimStore claimStore() {
        return mClaimStore;
    }

    /** Returns the upstreams that the entry knows. */
    SimUpstreamPool pool() {
        return mPool;
    }

    /** Returns the open connection to an agent, or null. */
    SimConnection openConnection(String agent) {
        SimConnection connection = mConnections.get(agent);
        return connection == null || connection.isClosed() ? null : connection;
    }

    /** Starts the exchange of a submission. */
    void submit(Submission submission) {
        SimExchange exchange =
                new SimExchange(mCellRun, this, submission, mIncarnation + "-" + mNextExchange++);
        mExchanges.add(exchange);
        exchange.start();
    }

    /** Returns all exchanges of the incarnation. */
    List<SimExchange> exchanges() {
        return List.copyOf(mExchanges);
    }

    /** Closes the connection to an agent that has ended. */
    void closeConnection(String agent) {
        SimConnection connection = mConnections.get(agent);
        if (connection != null) {
            connection.close();
        }
    }

    /** Ends the incarnation and closes its connections. */
    void kill() {
        mProcess.kill();
        mConnections.values().forEach(SimConnection::close);
    }
}
