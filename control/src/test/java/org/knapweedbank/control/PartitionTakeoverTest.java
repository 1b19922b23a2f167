package org.knapweedbank.control;

import static com.google.common.truth.Truth.assertThat;

import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.cache.PrefixView;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.store.lease.OwnershipStore;
import org.knapweedbank.store.lease.StoreOwnership;
import org.knapweedbank.time.ManualClock;

class PartitionTakeoverTest {
    private final ManualClock mClock = new ManualClock();
    private final FakeView mView = new FakeView();
    private final List<Integer> mAcquired = new ArrayList<>();
    private final PartitionTakeover mTakeover = takeover(OptionalLong.of(7));

    private PartitionTakeover takeover(OptionalLong lease) {
        return new PartitionTakeover(
                ControlSettings.defaults(),
                new EntryIdentity("entry-1", "127.0.0.1:7400", new DataCentreId("a")),
                mClock,
                mView,
                new FakeOwnerships(),
                ownership -> {
                    throw new AssertionError("no partition is acquired in this test");
                },
                () -> lease,
                Runnable::run,
                (ownership, journal, records) -> {});
    }

    private void takeUnownedPartitions(PartitionTakeover takeover) {
        takeover.takeUnownedPartitions(ControlFixture.configuration(1, Set.of()), Set.of());
    }

    /** A partition without an owner must be acquired. */
    @Test
    void acquiresPartitionWithoutOwner() {
        takeUnownedPartitions(mTakeover);
        assertThat(mAcquired).containsExactly(0);
    }

    /**
     * Guards against a partition that stays unowned: the owner key that a failed release leaves in
     * the store names this entry, which kept every entry from acquiring the partition.
     */
    @Test
    void acquiresPartitionWhoseOwnerKeyNamesThisEntry() {
        mView.putOwner("entry-1");
        takeUnownedPartitions(mTakeover);
        assertThat(mAcquired).containsExactly(0);
    }

    /** Guards against an attempt to acquire a partition that another entry owns. */
    @Test
    void doesNotAcquirePartitionOfAnotherEntry() {
        mView.putOwner("entry-2");
        takeUnownedPartitions(mTakeover);
        mClock.advance(Duration.ofMinutes(1));
        takeUnownedPartitions(mTakeover);
        assertThat(mAcquired).isEmpty();
    }

    /** Guards against an ownership that is not bound to a store lease held by this entry. */
    @Test
    void acquiresNothingWithoutStoreLease() {
        takeUnownedPartitions(takeover(OptionalLong.empty()));
        assertThat(mAcquired).isEmpty();
    }

    /** Records the acquisition attempts; another entry wins each of them. */
    private final class FakeOwnerships implements OwnershipStore {
        @Override
        public Uni<StoreResult<Optional<Ownership>>> acquire(
                int partition, String ownerId, String ownerAddress, long leaseId) {
            mAcquired.add(partition);
            return Uni.createFrom().item(new StoreResult.Succeeded<>(Optional.empty()));
        }

        @Override
        public Uni<StoreResult<Boolean>> release(Ownership ownership) {
            return Uni.createFrom().item(new StoreResult.Succeeded<>(true));
        }
    }

    /** In-memory view of the store that holds the keys set by a test. */
    private static final class FakeView implements PrefixView {
        private final Map<String, KeyEntry> mEntries = new TreeMap<>();

        private void putOwner(String entry) {
            String key = StoreOwnership.ownerKey(0);
            String value = "{\"owner\":\"" + entry + "\",\"address\":\"\",\"epoch\":1,\"lease\":3}";
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            mEntries.put(key, new KeyEntry(key, bytes, 1, 1, 3));
        }

        @Override
        public Optional<KeyEntry> get(String key) {
            return Optional.ofNullable(mEntries.get(key));
        }

        @Override
        public List<KeyEntry> list(String prefix) {
            return mEntries.values().stream()
                    .filter(entry -> entry.key().startsWith(prefix))
                    .toList();
        }

        @Override
        public void subscribe(String prefix, Runnable listener) {}

        @Override
        public long confirmedNanos() {
            return 0;
        }
    }
}
