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
import org.knapweedbank.entry.EntryParts;
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

/** Entry role: connects the entry daemon with the store, the configuration and the partitions. */
final class EntryRole implements Role {
    private static final String WATCHED_PREFIX = "/kwb/c/";
    private static final Duration LEASE_TTL = Duration.ofSeconds(5);

    /** Claims and journal records wait up to this longer than their collection windows. */
    private static final Duration STORE_STEP = Duration.ofMillis(5);

    private static final int STORE_RING = 1_024;
    private static final int CONFIG_RING = 256;

    /** The configuration duty has no periodic work. */
    private static final Duration IDLE_STEP = Duration.ofSeconds(1);

    private static final long CONFIRM_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Duration PARTITIONS_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(2);

    private final Clock mClock;
    private final KeyValueStore mStore;
    private final StorePrefixView mView;
    private final StoreConfigurationSource mSource;
    private final ConfigurationStore mConfigurations;
    private final ClaimStore mClaims;
    private final DaemonLease mLease;
    private final PartitionHost mPartitions;
    private final EntryDaemon mEntry;
    private final OperatorKeys mKeys;
    private final String mId;
    private final DutyThread mStoreThread;
    private final DutyThread mConfigThread;
    private final Set<DrivenJournal> mJournals = ConcurrentHashMap.newKeySet();
    private long mConfirmNanos;
    private OperatorRoutes mRoutes;

    /**
     * Creates the role.
     *
     * @param settings settings; the ports of the listeners must be fixed
     * @param keys keys of the operators
     * @param vertx event loops
     * @param clock clock
     * @param store key-value service
     * @param registry receives the metrics
     */
    EntryRole(
            DaemonSettings.Entry settings,
            OperatorKeys keys,
            Vertx vertx,
            Clock clock,
            KeyValueStore store,
            MetricRegistry registry) {
        mClock = clock;
        mStore = store;
        mKeys = keys;
        mId = settings.daemon().value();
        mView = new StorePrefixView(store, WATCHED_PREFIX, clock);
        mConfigThread = new DutyThread("config", CONFIG_RING, () -> {}, IDLE_STEP);
        mSource = new StoreConfigurationSource(mView, store, mConfigThread::execute);
        mClaims = new ClaimStore(store, clock, ClaimSettings.standard());
        long incarnation = clock.wallTime().toEpochMilli();
        mConfigurations = new ConfigurationStore(store, clock, mId + "-" + incarnation);
        mLease = lease(settings, incarnation);
        mPartitions = partitions(settings, vertx, registry);
        EntryParts parts =
                new EntryParts(
                        mSource,
                        mSource::offer,
                        mView,
                        mPartitions,
                        new StoreClaimService(mClaims),
                        this::mountOperators);
        mEntry = new EntryDaemon(entry(settings, incarnation), vertx, clock, registry, parts);
        mStoreThread = new DutyThread("store", STORE_RING, this::step, STORE_STEP);
    }

    @Override
    public Uni<Void> start() {
        mView.start();
        mConfigThread.start();
        mSource.start();
        mStoreThread.start();
        mPartitions.start();
        return mEntry.start();
    }

    @Override
    public Uni<Void> stop() {
        // Partitions move to other entries while the requests in flight are finished here.
        Uni<Void> partitions =
                mPartitions
                        .stop()
                        .ifNoItem()
                        .after(PARTITIONS_TIMEOUT)
                        .recoverWithUni(Uni.createFrom().voidItem());
        return Uni.join()
                .all(partitions, mEntry.stop())
                .andCollectFailures()
                .replaceWithVoid()
                .chain(this::releaseLease)
                .invoke(
                        () -> {
                            mRoutes.close();
                            mClaims.close();
                            mView.close();
                            mStoreThread.close();
                            mConfigThread.close();
                        });
    }

    ConfigurationStore configurations() {
        return mConfigurations;
    }

    EntryDaemon entry() {
        return mEntry;
    }

    private void step() {
        mClaims.tick();
        mLease.tick();
        mJournals.forEach(DrivenJournal::tick);
        long now = mClock.monotonicNanos();
        if (now - mConfirmNanos >= CONFIRM_NANOS) {
            mConfirmNanos = now;
            mView.confirm();
            mClaims.shareWith(mView.list(EntryRegistration.PREFIX).size());
            mSource.refresh();
        }
    }

    private Uni<Void> releaseLease() {
        return mLease.release()
                .ifNoItem()
                .after(RELEASE_TIMEOUT)
                .recoverWithItem((StoreResult<Boolean>) null)
                .replaceWithVoid();
    }

    private OperatorCallHandler mountOperators(
            Router router, DaemonDirectory directory, OperatorForwarder forwarder) {
        OperatorRoutes routes =
                new OperatorRoutes(
                        mKeys,
                        new OperatorRoutes.Parts(
                                mId,
                                mConfigurations,
                                mSource,
                                mPartitions,
                                forwarder,
                                directory,
                                mClock));
        mRoutes = routes;
        routes.mount(router);
        return routes::handle;
    }

    private DaemonLease lease(DaemonSettings.Entry settings, long incarnation) {
        String host = settings.host();
        EntryRegistration registration =
                new EntryRegistration(
                        settings.daemon(),
                        incarnation,
                        settings.dataCentre(),
                        address(host, settings.frames()),
                        address(host, settings.callers()),
                        address(host, settings.operators()));
        return new DaemonLease(
                mStore,
                mClock,
                LEASE_TTL,
                registration.key(),
                registration.encode(),
                new NoAction());
    }

    private PartitionHost partitions(
            DaemonSettings.Entry settings, Vertx vertx, MetricRegistry registry) {
        return new PartitionHost(
                settings.control(),
                new EntryIdentity(
                        mId, address(settings.host(), settings.frames()), settings.dataCentre()),
                mClock,
                mSource,
                mView,
                new StoreOwnership(mStore),
                this::openJournal,
                partition ->
                        new PartitionScheduler(
                                SchedulerSettings.defaults(),
                                mClock,
                                RandomSource.XO_RO_SHI_RO_128_PP.create()),
                new HttpWorkerLists(vertx),
                mLease::leaseId,
                registry);
    }

    private DrivenJournal openJournal(Ownership ownership) {
        return new DrivenJournal(
                new GroupCommitJournal(mStore, mClock, ownership, JournalSettings.standard()),
                mJournals);
    }

    private static EntrySettings entry(DaemonSettings.Entry settings, long incarnation) {
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

    private static String address(String host, ListenAddress listener) {
        return host + ":" + listener.port();
    }

    /** The lease logs its gain and loss; partitions ask for it at each use. */
    private static final class NoAction implements DaemonLeaseListener {
        @Override
        public void held(long leaseId) {}

        @Override
        public void lost(long leaseId) {}
    }
}
