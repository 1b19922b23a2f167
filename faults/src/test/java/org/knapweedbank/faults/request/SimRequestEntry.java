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
    private final RequestWorld mWorld;
    private final String mName;
    private final SimProcess mProcess;
    private final Clock mClock;
    private final ClaimStore mClaims;
    private final SimPool mPool;
    private final Map<String, SimConnection> mConnections = new LinkedHashMap<>();
    private final Set<SimExchange> mExchanges = new LinkedHashSet<>();
    private final String mIncarnation;
    private int mNext;

    SimRequestEntry(RequestWorld world, String name, Clock clock, KeyValueStore store) {
        mWorld = world;
        mName = name;
        mClock = clock;
        mProcess = new SimProcess(world.simulation(), name);
        mClaims = new ClaimStore(store, clock, ClaimSettings.standard());
        mPool = new SimPool(world.simulation().random());
        mIncarnation = name + "-" + world.simulation().now();
        mProcess.every(Duration.ofMillis(10), mClaims::tick);
        mProcess.every(Duration.ofMillis(200), this::connect);
        connect();
    }

    private void connect() {
        for (SimRequestAgent agent : mWorld.agents()) {
            SimConnection known = mConnections.get(agent.name());
            boolean wanted = known == null || known.broken();
            if (wanted && agent.process().alive() && !mWorld.isCut(agent.name(), true)) {
                mConnections.put(agent.name(), new SimConnection(mWorld, this, agent));
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

    ClaimStore claims() {
        return mClaims;
    }

    SimPool pool() {
        return mPool;
    }

    /** The open connection to an agent, or null. */
    SimConnection connection(String agent) {
        SimConnection connection = mConnections.get(agent);
        return connection == null || connection.broken() ? null : connection;
    }

    void submit(Submission submission) {
        SimExchange exchange =
                new SimExchange(mWorld, this, submission, mIncarnation + "-" + mNext++);
        mExchanges.add(exchange);
        exchange.start();
    }

    List<SimExchange> exchanges() {
        return List.copyOf(mExchanges);
    }

    void agentGone(String agent) {
        SimConnection connection = mConnections.get(agent);
        if (connection != null) {
            connection.breakOff();
        }
    }

    void kill() {
        mProcess.kill();
        mConnections.values().forEach(SimConnection::breakOff);
    }
}
