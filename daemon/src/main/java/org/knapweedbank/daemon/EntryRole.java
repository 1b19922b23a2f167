package org.knapweedbank.daemon;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.config.ConfigurationStore;
import org.knapweedbank.config.StoreConfigurationSource;
import org.knapweedbank.control.EntryIdentity;
import org.knapweedbank.control.PartitionHost;
import org.knapweedbank.entry.EntryDaemon;
import org.knapweedbank.entry.EntryDependencies;
import org.knapweedbank.entry.EntrySettings;
import org.knapweedbank.entry.ListenAddress;
import org.knapweedbank.entry.OperatorCallHandler;
import org.knapweedbank.entry.StoreClaimService;
import org.knapweedbank.entry.operator.DaemonDirectory;
import org.knapweedbank.entry.operator.OperatorForwarder;
import org.knapweedbank.entry.operator.OperatorKeys;
import org.knapweedbank.entry.operator.OperatorRoutes;
import org.knapweedbank.ring.DutyThread;
import org.knapweedbank.scheduling.PartitionScheduler;
import org.knapweedbank.scheduling.SchedulerSettings;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.cache.StorePrefixView;
import org.knapweedbank.store.claim.ClaimSettings;
import org.knapweedbank.store.claim.ClaimStore;
import org.knapweedbank.store.journal.GroupCommitJournal;
import org.knapweedbank.store.journal.JournalSettings;
import org.knapweedbank.store.lease.DaemonLease;
import org.knapweedbank.store.lease.DaemonLeaseListener;
import org.knapweedbank.store.lease.EntryRegistration;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.store.lease.StoreOwnership;
import org.knapweedbank.time.Clock;

/** Role that runs an entry daemon with its store, configuration and partitions. */
final class EntryRole implements Role {
    private static final String WATCHED_PREFIX = "/kwb/c/";
    private static final Duration LEASE_TTL = Duration.ofSeconds(5);

    /** Claims and journal records wait up to this long beyond the end of their batching windows. */
    private static final Duration STORE_TICK_INTERVAL = Duration.ofMillis(5);

    private static final int STORE_QUEUE_CAPACITY = 1_024;
    private static final int CONFIG_QUEUE_CAPACITY = 256;

    /** Interval of the configuration thread, which has no periodic work. */
    private static final Duration CONFIG_TICK_INTERVAL = Duration.ofSeconds(1);

    private static final long CONFIRM_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Duration PARTITION_HANDOVER_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration LEASE_RELEASE_TIMEOUT = Duration.ofSeconds(2);

    private final Clock mClock;
    private final KeyValueStore mKeyValueStore;
    private final StorePrefixView mStoreView;
    private final StoreConfigurationSource mConfigurationSource;
    private final ConfigurationStore mConfigurationStore;
    private final ClaimStore mClaimStore;
    private final DaemonLease mDaemonLease;
    private final PartitionHost mPartitionHost;
    private final EntryDaemon mEntryDaemon;
    private final OperatorKeys mOperatorKeys;
    private final String mDaemonId;
    private final DutyThread mStoreThread;
    private final DutyThread mConfigThread;
    private final Set<StoreThreadJournal> mOpenJournals = ConcurrentHashMap.newKeySet();
    private long mLastConfirmNanos;
    private OperatorRoutes mOperatorRoutes;

    /**
     * Creates the role.
     *
     * @param settings settings of the entry; the ports of the listeners must not be 0
     * @param operatorKeys bearer keys of the operators
     * @param vertx Vert.x instance whose event loops are used
     * @param clock clock of the entry
     * @param store key-value store
     * @param registry registry for metrics
     */
    EntryRole(
            DaemonSettings.Entry settings,
            OperatorKeys operatorKeys,
            Vertx vertx,
            Clock clock,
            KeyValueStore store,
            MetricRegistry registry) {
        mClock = clock;
        mKeyValueStore = store;
        mOperatorKeys = operatorKeys;
        mDaemonId = settings.daemon().value();
        mStoreView = new StorePrefixView(store, WATCHED_PREFIX, clock);
        mConfigThread =
                new DutyThread("config", CONFIG_QUEUE_CAPACITY, () -> {}, CONFIG_TICK_INTERVAL);
        mConfigurationSource =
                new StoreConfigurationSource(mStoreView, store, mConfigThread::execute);
        mClaimStore = new ClaimStore(store, clock, ClaimSettings.standard());
        long incarnation = clock.wallTime().toEpochMilli();
        mConfigurationStore = new ConfigurationStore(store, clock, mDaemonId + "-" + incarnation);
        mDaemonLease = createLease(settings, incarnation);
        mPartitionHost = createPartitionHost(settings, vertx, registry);
        EntryDependencies parts =
                new EntryDependencies(
                        mConfigurationSource,
                        mConfigurationSource::adoptIfNewer,
                        mStoreView,
                        mPartitionHost,
                        new StoreClaimService(mClaimStore),
                        this::mountOperatorRoutes);
        mEntryDaemon =
                new EntryDaemon(
                        toEntrySettings(settings, incarnation), vertx, clock, registry, parts);
        mStoreThread =
                new DutyThread("store", STORE_QUEUE_CAPACITY, this::tick, STORE_TICK_INTERVAL);
    }

    @Override
    public Uni<Void> start() {
        mStoreView.start();
        mConfigThread.start();
        mConfigurationSource.start();
        mStoreThread.start();
        mPartitionHost.start();
        return mEntryDaemon.start();
    }

    @Override
    public Uni<Void> stop() {
        // Hand over the partitions to other entries while this entry finishes the requests in
        // flight.
        Uni<Void> partitions =
                mPartitionHost
                        .stop()
                        .ifNoItem()
                        .after(PARTITION_HANDOVER_TIMEOUT)
                        .recoverWithUni(Uni.createFrom().voidItem());
        return Uni.join()
                .all(partitions, mEntryDaemon.stop())
                .andCollectFailures()
                .replaceWithVoid()
                .chain(this::releaseLease)
                .invoke(
                        () -> {
                            mOperatorRoutes.close();
                            mClaimStore.close();
                            mStoreView.close();
                            mStoreThread.close();
                            mConfigThread.close();
                        });
    }

    ConfigurationStore configurationStore() {
        return mConfigurationStore;
    }

    EntryDaemon entryDaemon() {
        return mEntryDaemon;
    }

    private void tick() {
        mClaimStore.tick();
        mDaemonLease.tick();
        mOpenJournals.forEach(StoreThreadJournal::tick);
        long now = mClock.monotonicNanos();
        if (now - mLastConfirmNanos >= CONFIRM_INTERVAL_NANOS) {
            mLastConfirmNanos = now;
            mStoreView.refresh();
            mClaimStore.setEntryCount(mStoreView.list(EntryRegistration.PREFIX).size());
            mConfigurationSource.refresh();
        }
    }

    private Uni<Void> releaseLease() {
        return mDaemonLease
                .release()
                .ifNoItem()
                .after(LEASE_RELEASE_TIMEOUT)
                .recoverWithItem((StoreResult<Boolean>) null)
                .replaceWithVoid();
    }

    private OperatorCallHandler mountOperatorRoutes(
            Router router, DaemonDirectory directory, OperatorForwarder forwarder) {
        OperatorRoutes routes =
                new OperatorRoutes(
                        mOperatorKeys,
                        new OperatorRoutes.Dependencies(
                                mDaemonId,
                                mConfigurationStore,
                                mConfigurationSource,
                                mPartitionHost,
                                forwarder,
                                directory,
                                mClock));
        mOperatorRoutes = routes;
        routes.mount(router);
        return routes::handle;
    }

    private DaemonLease createLease(DaemonSettings.Entry settings, long incarnation) {
        String host = settings.host();
        EntryRegistration registration =
                new EntryRegistration(
                        settings.daemon(),
                        incarnation,
                        settings.dataCentre(),
                        formatAddress(host, settings.frames()),
                        formatAddress(host, settings.callers()),
                        formatAddress(host, settings.operators()));
        return new DaemonLease(
                mKeyValueStore,
                mClock,
                LEASE_TTL,
                registration.key(),
                registration.encode(),
                new NoOpLeaseListener());
    }

    private PartitionHost createPartitionHost(
            DaemonSettings.Entry settings, Vertx vertx, MetricRegistry registry) {
        return new PartitionHost(
                settings.control(),
                new EntryIdentity(
                        mDaemonId,
                        formatAddress(settings.host(), settings.frames()),
                        settings.dataCentre()),
                mClock,
                mConfigurationSource,
                mStoreView,
                new StoreOwnership(mKeyValueStore),
                this::openJournal,
                partition ->
                        new PartitionScheduler(
                                SchedulerSettings.defaults(),
                                mClock,
                                RandomSource.XO_RO_SHI_RO_128_PP.create()),
                new HttpWorkerTaskReader(vertx),
                mDaemonLease::leaseId,
                registry);
    }

    private StoreThreadJournal openJournal(Ownership ownership) {
        return new StoreThreadJournal(
                new GroupCommitJournal(
                        mKeyValueStore, mClock, ownership, JournalSettings.standard()),
                mOpenJournals);
    }

    private static EntrySettings toEntrySettings(DaemonSettings.Entry settings, long incarnation) {
        return new EntrySettings(
                settings.daemon(),
                incarnation,
                settings.dataCentre(),
                settings.host(),
                settings.callers(),
                settings.frames(),
                settings.operators(),
                settings.limits(),
                settings.drainDelay(),
                settings.drainTimeout(),
                RandomSource.createLong());
    }

    private static String formatAddress(String host, ListenAddress listener) {
        return host + ":" + listener.port();
    }

    /**
     * Does nothing, as the lease logs its own acquisition and loss, and partitions query the lease
     * each time they need it.
     */
    private static final class NoOpLeaseListener implements DaemonLeaseListener {
        @Override
        public void leaseAcquired(long leaseId) {}

        @Override
        public void leaseLost(long leaseId) {}
    }
}
