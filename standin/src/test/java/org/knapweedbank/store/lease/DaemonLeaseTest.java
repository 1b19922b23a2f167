package org.knapweedbank.store.lease;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.standin.AnswerLoss;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.standin.StoreCallKind;
import org.knapweedbank.standin.StoreClient;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.time.ManualClock;

class DaemonLeaseTest {
    private static final Duration TTL = Duration.ofSeconds(5);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    private final ManualClock mClock = new ManualClock();
    private final InMemoryStore mStore = new InMemoryStore(mClock);
    private final StoreClient mClient = mStore.client();
    private final EntryRegistration mRegistration =
            new EntryRegistration(
                    new DaemonId("e1"), 7, new DataCentreId("dc1"), "a:1", "a:2", "a:3");
    private final List<String> mEvents = new ArrayList<>();
    private final DaemonLease mLease =
            new DaemonLease(
                    mClient,
                    mClock,
                    TTL,
                    mRegistration.key(),
                    mRegistration.encode(),
                    new DaemonLeaseListener() {
                        @Override
                        public void leaseAcquired(long leaseId) {
                            mEvents.add("held");
                        }

                        @Override
                        public void leaseLost(long leaseId) {
                            mEvents.add("lost");
                        }
                    });

    private void runFor(Duration duration) {
        for (long elapsedMillis = 0;
                elapsedMillis < duration.toMillis();
                elapsedMillis += TICK_INTERVAL.toMillis()) {
            mLease.tick();
            mClock.advance(TICK_INTERVAL);
            mStore.tick();
        }
    }

    private boolean isRegistered() {
        StoreResult<KeyRange> result = mStore.get(mRegistration.key()).await().indefinitely();
        return ((StoreResult.Succeeded<KeyRange>) result).value().first().isPresent();
    }

    /** Guards against a lease that is not renewed and a registration that cannot be decoded. */
    @Test
    void leaseIsRenewedAndRegistrationReadable() {
        runFor(Duration.ofMinutes(1));
        assertThat(mEvents).containsExactly("held");
        assertThat(mLease.leaseId().isPresent()).isTrue();
        StoreResult<KeyRange> result = mStore.get(mRegistration.key()).await().indefinitely();
        KeyRange range = ((StoreResult.Succeeded<KeyRange>) result).value();
        assertThat(EntryRegistration.decode(range.first().orElseThrow())).hasValue(mRegistration);
        assertThat(mStore.counters().writes()).isEqualTo(2);
    }

    /** Guards against a holder that still relies on its lease after the store has expired it. */
    @Test
    void leaseIsLostBeforeTheStoreExpiresIt() {
        runFor(Duration.ofSeconds(10));
        mClient.faults().down(true);
        while (mLease.leaseId().isPresent()) {
            assertThat(isRegistered()).isTrue();
            mClock.advance(Duration.ofMillis(10));
            mLease.tick();
        }
        assertThat(isRegistered()).isTrue();
        assertThat(mEvents).containsExactly("held", "lost").inOrder();
        runFor(TTL);
        assertThat(isRegistered()).isFalse();
        mClient.faults().down(false);
        runFor(Duration.ofSeconds(1));
        assertThat(mEvents).containsExactly("held", "lost", "held").inOrder();
        assertThat(isRegistered()).isTrue();
    }

    /** Guards against a process that was paused for longer than its lease and still uses it. */
    @Test
    void leaseIsLostAfterAPauseLongerThanItsTtl() {
        runFor(Duration.ofSeconds(1));
        mClock.advance(Duration.ofSeconds(6));
        assertThat(mLease.leaseId().isPresent()).isFalse();
        mLease.tick();
        assertThat(mEvents).containsExactly("held", "lost", "held").inOrder();
    }

    /** Guards against lost responses that end a lease or leave it without its registration. */
    @ParameterizedTest
    @CsvSource({
        "LEASE_GRANT, AFTER_EFFECT",
        "LEASE_GRANT, BEFORE_EFFECT",
        "WRITE, AFTER_EFFECT",
        "WRITE, BEFORE_EFFECT",
        "KEEP_ALIVE, AFTER_EFFECT",
        "KEEP_ALIVE, BEFORE_EFFECT"
    })
    void leaseSurvivesLostResponses(StoreCallKind kind, AnswerLoss loss) {
        mClient.faults().loseAnswers(kind, loss, 2);
        runFor(Duration.ofSeconds(10));
        assertThat(mEvents).containsExactly("held");
        assertThat(isRegistered()).isTrue();
    }

    /**
     * Guards against a holder that counts the lease time from the slow response to a renewal, and
     * so relies on the lease for longer than the store keeps it.
     */
    @Test
    void renewedLeaseCountsFromTheSendTime() {
        runFor(Duration.ofSeconds(1));
        mClient.faults().slow(Duration.ofSeconds(4));
        runFor(Duration.ofSeconds(1));
        mClock.advance(Duration.ofSeconds(4));
        mStore.tick();
        mClient.faults().down(true);
        mLease.tick();
        assertThat(mLease.leaseId().isPresent()).isTrue();
        mClock.advance(Duration.ofSeconds(1));
        assertThat(mLease.leaseId().isPresent()).isFalse();
    }

    /** Guards against a planned stop that leaves the registration in place until it expires. */
    @Test
    void releaseDeletesTheRegistration() {
        runFor(Duration.ofSeconds(1));
        mLease.release().await().indefinitely();
        assertThat(isRegistered()).isFalse();
        runFor(Duration.ofSeconds(1));
        assertThat(isRegistered()).isFalse();
        assertThat(mEvents).containsExactly("held", "lost").inOrder();
    }
}
