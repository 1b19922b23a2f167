package org.knapweedbank.faults.configuration;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.config.ConfigurationStore;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.config.StoreConfigurationSource;
import org.knapweedbank.faults.ProcessStore;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.StoreWatch;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;
import org.knapweedbank.store.WatchListener;
import org.knapweedbank.store.cache.StorePrefixView;
import org.knapweedbank.time.Clock;

/** One incarnation of an entry, reduced to what the configuration needs. */
final class SimConfigEntry {
    private final ConfigurationCellRun mCellRun;
    private final String mName;
    private final SimProcess mProcess;
    private final ConfigurationStore mStore;
    private final StoreConfigurationSource mSource;

    /** Agents that have sent a heartbeat; the values are not used. */
    private final Map<SimConfigAgent, Long> mConnectedAgents = new HashMap<>();

    SimConfigEntry(ConfigurationCellRun cellRun, String name, Clock clock, KeyValueStore client) {
        mCellRun = cellRun;
        mName = name;
        mProcess = new SimProcess(cellRun.simulation(), name);
        KeyValueStore store = new ProcessStore(client, mProcess);
        if (cellRun.mutant() == ConfigurationMutant.LOST_ANSWER_TAKEN_FOR_REFUSAL) {
            store = new UnknownAsUnavailableStore(store);
        }
        mStore = new ConfigurationStore(store, clock, name + "/" + cellRun.simulation().nowNanos());
        StorePrefixView view = new StorePrefixView(store, "/kwb/c/", clock);
        mSource = new StoreConfigurationSource(view, store);
        view.start();
        mSource.subscribe(this::handleConfiguration);
        mSource.start();
        mProcess.scheduleRepeating(
                Duration.ofSeconds(1),
                () -> {
                    view.refresh();
                    mSource.refresh();
                });
    }

    /** Reports a new configuration in force to the cell and pushes it to all agents. */
    private void handleConfiguration(SiteConfiguration configuration) {
        mCellRun.recordGeneration(mName, configuration.generation());
        mCellRun.reachStep(ConfigurationStep.SEEN_BY_ENTRY);
        List.copyOf(mConnectedAgents.keySet()).forEach(this::pushConfiguration);
    }

    /** Returns the name that all incarnations of the entry share. */
    String name() {
        return mName;
    }

    /** Returns the process that the entry runs in. */
    SimProcess process() {
        return mProcess;
    }

    /** Returns the store through which operators change the configuration at this entry. */
    ConfigurationStore store() {
        return mStore;
    }

    /**
     * Handles a heartbeat of an agent and pushes the configuration to it if the agent's is older.
     *
     * @param generation generation in force at the agent
     */
    void handleHeartbeat(SimConfigAgent agent, long generation) {
        mCellRun.reachStep(ConfigurationStep.CONFIRMED_BY_AGENT);
        boolean first = !mConnectedAgents.containsKey(agent);
        mConnectedAgents.putIfAbsent(agent, 0L);
        boolean repeatsPushes = mCellRun.mutant() != ConfigurationMutant.PUSH_NOT_REPEATED;
        long entryGeneration = mSource.current().map(SiteConfiguration::generation).orElse(0L);
        if (generation < entryGeneration && (first || repeatsPushes)) {
            pushConfiguration(agent);
        }
    }

    /** Pushes the configuration in force to an agent. */
    private void pushConfiguration(SimConfigAgent agent) {
        mSource.current()
                .ifPresent(
                        configuration -> {
                            mCellRun.reachStep(ConfigurationStep.PUSHED_TO_AGENT);
                            agent.receivePush(configuration);
                        });
    }

    /** Reports a write of unknown outcome as unavailable, as if it had no effect. */
    private record UnknownAsUnavailableStore(KeyValueStore store) implements KeyValueStore {
        @Override
        public Uni<StoreResult<TransactionResult>> transact(Transaction transaction) {
            return store.transact(transaction)
                    .map(
                            result ->
                                    result instanceof StoreResult.Unknown
                                            ? new StoreResult.Unavailable<>("no answer")
                                            : result);
        }

        @Override
        public Uni<StoreResult<KeyRange>> get(String key) {
            return store.get(key);
        }

        @Override
        public Uni<StoreResult<KeyRange>> range(String prefix, int limit) {
            return store.range(prefix, limit);
        }

        @Override
        public Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit) {
            return store.rangeFrom(prefix, from, limit);
        }

        @Override
        public Uni<StoreResult<Long>> grantLease(Duration ttl) {
            return store.grantLease(ttl);
        }

        @Override
        public Uni<StoreResult<Boolean>> keepAlive(long leaseId) {
            return store.keepAlive(leaseId);
        }

        @Override
        public Uni<StoreResult<Boolean>> revoke(long leaseId) {
            return store.revoke(leaseId);
        }

        @Override
        public StoreWatch watch(String prefix, long fromRevision, WatchListener listener) {
            return store.watch(prefix, fromRevision, listener);
        }

        @Override
        public void close() {}
    }
}
