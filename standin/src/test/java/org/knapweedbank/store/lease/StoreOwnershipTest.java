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
    private final StoreOwnership mOther = new StoreOwnership(mStore.client());

    private static <T> T value(Uni<StoreResult<T>> call) {
        return ((StoreResult.Succeeded<T>) call.await().indefinitely()).value();
    }

    private long lease() {
        return value(mStore.grantLease(Duration.ofSeconds(5)));
    }

    private Optional<Ownership> acquire(String owner, long lease) {
        return value(mOwnership.acquire(3, owner, owner + ":1", lease));
    }

    /** Guards against two owners of one partition. */
    @Test
    void onlyOneOwnerAtATime() {
        Ownership first = acquire("a", lease()).orElseThrow();
        assertThat(first.epoch()).isEqualTo(1);
        assertThat(value(mOther.acquire(3, "b", "b:1", lease()))).isEmpty();
        assertThat(value(mOther.acquire(4, "b", "b:1", lease()))).isPresent();
    }

    /** Guards against an epoch that is used again after the owner's lease has expired. */
    @Test
    void epochGrowsWithEachOwner() {
        acquire("a", lease());
        mClock.advance(Duration.ofSeconds(6));
        Ownership second = value(mOther.acquire(3, "b", "b:1", lease())).orElseThrow();
        assertThat(second.epoch()).isEqualTo(2);
        assertThat(value(mOther.release(second))).isTrue();
        Ownership third = acquire("a", lease()).orElseThrow();
        assertThat(third.epoch()).isEqualTo(3);
        assertThat(value(mOther.release(second))).isFalse();
        assertThat(value(mOther.acquire(3, "b", "b:1", lease()))).isEmpty();
    }

    /** Guards against an owner that does not know that it is, or believes it wrongly. */
    @ParameterizedTest
    @CsvSource({"AFTER_EFFECT, true", "BEFORE_EFFECT, false"})
    void lostAnswersToAcquisitionsAreReadBack(AnswerLoss loss, boolean owner) {
        mClient.faults().loseAnswers(StoreCallKind.WRITE, loss, 1);
        long lease = lease();
        Optional<Ownership> result = acquire("a", lease);
        assertThat(result.isPresent()).isEqualTo(owner);
        Ownership again = acquire("a", lease).orElseThrow();
        assertThat(again.epoch()).isEqualTo(1);
        KeyRange epoch = value(mStore.get(StoreOwnership.epochKey(3)));
        assertThat(again.epochRevision()).isEqualTo(epoch.first().orElseThrow().modRevision());
    }

    /** Guards against an ownership under an earlier lease that is taken for the present one. */
    @Test
    void ownershipUnderAnEarlierLeaseIsNotTakenOver() {
        acquire("a", lease());
        assertThat(acquire("a", lease())).isEmpty();
    }

    /** Guards against an acquisition under a lease that has expired during a pause. */
    @Test
    void expiredLeaseAcquiresNothing() {
        long lease = lease();
        mClock.advance(Duration.ofSeconds(6));
        assertThat(mOwnership.acquire(3, "a", "a:1", lease).await().indefinitely())
                .isInstanceOf(StoreResult.Rejected.class);
        assertThat(value(mOther.acquire(3, "b", "b:1", lease()))).isPresent();
    }

    /** Guards against races between two candidates that both see a free partition. */
    @Test
    void racingCandidatesLeaveOneOwner() {
        mClient.faults().slow(Duration.ofSeconds(1));
        long lease = lease();
        List<StoreResult<Optional<Ownership>>> results = new ArrayList<>();
        mOwnership.acquire(3, "a", "a:1", lease).subscribe().with(results::add);
        Ownership other = value(mOther.acquire(3, "b", "b:1", lease())).orElseThrow();
        for (int i = 0; i < 4; i++) {
            mClock.advance(Duration.ofSeconds(1));
            mStore.tick();
        }
        assertThat(results).containsExactly(new StoreResult.Succeeded<>(Optional.empty()));
        assertThat(other.epoch()).isEqualTo(1);
    }

    /** Guards against a store that is down being reported as an owner elsewhere. */
    @Test
    void downIsUnavailable() {
        long lease = lease();
        mClient.faults().down(true);
        assertThat(mOwnership.acquire(3, "a", "a:1", lease).await().indefinitely())
                .isInstanceOf(StoreResult.Unavailable.class);
    }

    /** Guards against an acquisition that arrives after another owner has taken over. */
    @Test
    void lateAcquisitionHasNoEffect() {
        long lease = lease();
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.LATE_EFFECT, 1);
        assertThat(acquire("a", lease)).isEmpty();
        Ownership other = value(mOther.acquire(3, "b", "b:1", lease())).orElseThrow();
        mStore.deliverLate();
        assertThat(acquire("a", lease)).isEmpty();
        assertThat(value(mOther.release(other))).isTrue();
    }

    /** Guards against an owner that never learns of an acquisition that arrived late. */
    @Test
    void lateAcquisitionIsFoundByTheNext() {
        long lease = lease();
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.LATE_EFFECT, 1);
        assertThat(acquire("a", lease)).isEmpty();
        mStore.deliverLate();
        assertThat(acquire("a", lease).orElseThrow().epoch()).isEqualTo(1);
    }
}
