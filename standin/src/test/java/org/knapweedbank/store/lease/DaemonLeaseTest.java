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
    private static final Duration STEP = Duration.ofMillis(100);

    private final ManualClock mClock = new ManualClock();
    private final InMemoryStore mStore = new InMemoryStore(mClock);
    private final StoreClient mClient = mStore.client();
    private final EntryRegistration mRegistration =
            new EntryRegistration(
                    new DaemonId("e1"), 7, new DataCentreId("dc1"), "a:1", "a:2", "a:3");
    private final List<String> mReports = new ArrayList<>();
    private final DaemonLease mLease =
            new DaemonLease(
                    mClient,
                    mClock,
                    TTL,
                    mRegistration.key(),
                    mRegistration.encode(),
                    new DaemonLeaseListener() {
                        @Override
                        public void held(long leaseId) {
                            mReports.add("held");
                        }

                        @Override
                        public void lost(long leaseId) {
                            mReports.add("lost");
                        }
                    });

    private void run(Duration duration) {
        for (long t = 0; t < duration.toMillis(); t += STEP.toMillis()) {
            mLease.tick();
            mClock.advance(STEP);
            mStore.tick();
        }
    }

    private boolean registered() {
        StoreResult<KeyRange> result = mStore.get(mRegistration.key()).await().indefinitely();
        return ((StoreResult.Succeeded<KeyRange>) result).value().first().isPresent();
    }

    /** Guards against a lease that is not renewed, and a registration that cannot be read. */
    @Test
    void staysHeld() {
        run(Duration.ofMinutes(1));
        assertThat(mReports).containsExactly("held");
        assertThat(mLease.leaseId().isPresent()).isTrue();
        StoreResult<KeyRange> result = mStore.get(mRegistration.key()).await().indefinitely();
        KeyRange range = ((StoreResult.Succeeded<KeyRange>) result).value();
        assertThat(EntryRegistration.decode(range.first().orElseThrow())).hasValue(mRegistration);
        assertThat(mStore.counters().writes()).isEqualTo(2);
    }

    /** Guards against a holder that still counts on its lease when the store has ended it. */
    @Test
    void isLostBeforeTheStoreEndsIt() {
        run(Duration.ofSeconds(10));
        mClient.faults().down(true);
        while (mLease.leaseId().isPresent()) {
            assertThat(registered()).isTrue();
            mClock.advance(Duration.ofMillis(10));
            mLease.tick();
        }
        assertThat(registered()).isTrue();
        assertThat(mReports).containsExactly("held", "lost").inOrder();
        run(TTL);
        assertThat(registered()).isFalse();
        mClient.faults().down(false);
        run(Duration.ofSeconds(1));
        assertThat(mReports).containsExactly("held", "lost", "held").inOrder();
        assertThat(registered()).isTrue();
    }

    /** Guards against a process that was paused beyond its lease and goes on with it. */
    @Test
    void aPauseBeyondTheLeaseEndsIt() {
        run(Duration.ofSeconds(1));
        mClock.advance(Duration.ofSeconds(6));
        assertThat(mLease.leaseId().isPresent()).isFalse();
        mLease.tick();
        assertThat(mReports).containsExactly("held", "lost", "held").inOrder();
    }

    /** Guards against lost answers that end a lease or leave it without its registration. */
    @ParameterizedTest
    @CsvSource({
        "LEASE_GRANT, AFTER_EFFECT",
        "LEASE_GRANT, BEFORE_EFFECT",
        "WRITE, AFTER_EFFECT",
        "WRITE, BEFORE_EFFECT",
        "KEEP_ALIVE, AFTER_EFFECT",
        "KEEP_ALIVE, BEFORE_EFFECT"
    })
    void survivesLostAnswers(StoreCallKind kind, AnswerLoss loss) {
        mClient.faults().loseAnswers(kind, loss, 2);
        run(Duration.ofSeconds(10));
        assertThat(mReports).containsExactly("held");
        assertThat(registered()).isTrue();
    }

    /** Guards against a slow answer to a renewal that extends the lease beyond the store's time. */
    @Test
    void renewalCountsFromItsSending() {
        run(Duration.ofSeconds(1));
        mClient.faults().slow(Duration.ofSeconds(4));
        run(Duration.ofSeconds(1));
        mClock.advance(Duration.ofSeconds(4));
        mStore.tick();
        mClient.faults().down(true);
        mLease.tick();
        assertThat(mLease.leaseId().isPresent()).isTrue();
        mClock.advance(Duration.ofSeconds(1));
        assertThat(mLease.leaseId().isPresent()).isFalse();
    }

    /** Guards against a planned stop that leaves the registration until it expires. */
    @Test
    void releaseDeletesTheRegistration() {
        run(Duration.ofSeconds(1));
        mLease.release().await().indefinitely();
        assertThat(registered()).isFalse();
        run(Duration.ofSeconds(1));
        assertThat(registered()).isFalse();
        assertThat(mReports).containsExactly("held", "lost").inOrder();
    }
}
