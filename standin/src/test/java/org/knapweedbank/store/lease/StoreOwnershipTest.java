package org.knapweedbank.store.lease;

import static com.google.common.truth.Truth.assertThat;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedbank.standin.AnswerLoss;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.standin.StoreCallKind;
import org.knapweedbank.standin.StoreClient;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.time.ManualClock;

class StoreOwnershipTest {
    private final ManualClock mClock = new ManualClock();
    private final InMemoryStore mStore = new InMemoryStore(mClock);
    private final StoreClient mClient = mStore.client();
    private final StoreOwnership mOwnership = new StoreOwnership(mClient);
    private final StoreOwnership mOtherOwnership = new StoreOwnership(mStore.client());

    private static <T> T awaitValue(Uni<StoreResult<T>> call) {
        return ((StoreResult.Succeeded<T>) call.await().indefinitely()).value();
    }

    private long grantLease() {
        return awaitValue(mStore.grantLease(Duration.ofSeconds(5)));
    }

    private Optional<Ownership> acquire(String owner, long lease) {
        return awaitValue(mOwnership.acquire(3, owner, owner + ":1", lease));
    }

    /** Guards against two concurrent owners of one partition. */
    @Test
    void partitionHasOneOwner() {
        Ownership first = acquire("a", grantLease()).orElseThrow();
        assertThat(first.epoch()).isEqualTo(1);
        assertThat(awaitValue(mOtherOwnership.acquire(3, "b", "b:1", grantLease()))).isEmpty();
        assertThat(awaitValue(mOtherOwnership.acquire(4, "b", "b:1", grantLease()))).isPresent();
    }

    /** Guards against an epoch that is reused after the owner's lease has expired. */
    @Test
    void epochIncreasesWithEachOwner() {
        acquire("a", grantLease());
        mClock.advance(Duration.ofSeconds(6));
        Ownership second =
                awaitValue(mOtherOwnership.acquire(3, "b", "b:1", grantLease())).orElseThrow();
        assertThat(second.epoch()).isEqualTo(2);
        assertThat(awaitValue(mOtherOwnership.release(second))).isTrue();
        Ownership third = acquire("a", grantLease()).orElseThrow();
        assertThat(third.epoch()).isEqualTo(3);
        assertThat(awaitValue(mOtherOwnership.release(second))).isFalse();
        assertThat(awaitValue(mOtherOwnership.acquire(3, "b", "b:1", grantLease()))).isEmpty();
    }

    /**
     * Guards against a daemon that does not learn that it is the owner, or wrongly believes that it
     * is, because the response to its acquisition was lost.
     */
    @ParameterizedTest
    @CsvSource({"AFTER_EFFECT, true", "BEFORE_EFFECT, false"})
    void acquisitionIsReadBackAfterLostResponse(AnswerLoss loss, boolean becomesOwner) {
        mClient.faults().loseAnswers(StoreCallKind.WRITE, loss, 1);
        long lease = grantLease();
        Optional<Ownership> result = acquire("a", lease);
        assertThat(result.isPresent()).isEqualTo(becomesOwner);
        Ownership confirmed = acquire("a", lease).orElseThrow();
        assertThat(confirmed.epoch()).isEqualTo(1);
        KeyRange epoch = awaitValue(mStore.get(StoreOwnership.epochKey(3)));
        assertThat(confirmed.epochRevision()).isEqualTo(epoch.first().orElseThrow().modRevision());
    }

    /** Guards against an ownership under an earlier lease being mistaken for the current one. */
    @Test
    void ownershipUnderAnEarlierLeaseIsNotTakenOver() {
        acquire("a", grantLease());
        assertThat(acquire("a", grantLease())).isEmpty();
    }

    /** Guards against an acquisition under a lease that expired during a pause. */
    @Test
    void acquisitionUnderExpiredLeaseIsRejected() {
        long lease = grantLease();
        mClock.advance(Duration.ofSeconds(6));
        assertThat(mOwnership.acquire(3, "a", "a:1", lease).await().indefinitely())
                .isInstanceOf(StoreResult.Rejected.class);
        assertThat(awaitValue(mOtherOwnership.acquire(3, "b", "b:1", grantLease()))).isPresent();
    }

    /** Guards against two candidates that see a free partition and both become its owner. */
    @Test
    void concurrentAcquisitionsYieldOneOwner() {
        mClient.faults().slow(Duration.ofSeconds(1));
        long lease = grantLease();
        List<StoreResult<Optional<Ownership>>> results = new ArrayList<>();
        mOwnership.acquire(3, "a", "a:1", lease).subscribe().with(results::add);
        Ownership other =
                awaitValue(mOtherOwnership.acquire(3, "b", "b:1", grantLease())).orElseThrow();
        for (int i = 0; i < 4; i++) {
            mClock.advance(Duration.ofSeconds(1));
            mStore.tick();
        }
        assertThat(results).containsExactly(new StoreResult.Succeeded<>(Optional.empty()));
        assertThat(other.epoch()).isEqualTo(1);
    }

    /**
     * Guards against an unreachable store being reported as a partition owned by another daemon.
     */
    @Test
    void unreachableStoreIsUnavailable() {
        long lease = grantLease();
        mClient.faults().down(true);
        assertThat(mOwnership.acquire(3, "a", "a:1", lease).await().indefinitely())
                .isInstanceOf(StoreResult.Unavailable.class);
    }

    /**
     * Guards against a delayed acquisition that takes effect after another owner has taken over.
     */
    @Test
    void delayedAcquisitionHasNoEffectAfterTakeover() {
        long lease = grantLease();
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.LATE_EFFECT, 1);
        assertThat(acquire("a", lease)).isEmpty();
        Ownership other =
                awaitValue(mOtherOwnership.acquire(3, "b", "b:1", grantLease())).orElseThrow();
        mStore.executeDelayedCalls();
        assertThat(acquire("a", lease)).isEmpty();
        assertThat(awaitValue(mOtherOwnership.release(other))).isTrue();
    }

    /** Guards against an owner that never learns that its delayed acquisition took effect. */
    @Test
    void delayedAcquisitionIsFoundByTheNextOne() {
        long lease = grantLease();
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.LATE_EFFECT, 1);
        assertThat(acquire("a", lease)).isEmpty();
        mStore.executeDelayedCalls();
        assertThat(acquire("a", lease).orElseThrow().epoch()).isEqualTo(1);
    }
}
