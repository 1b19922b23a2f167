package org.knapweedbank.store.claim;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedbank.standin.AnswerLoss;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.standin.StoreCallKind;
import org.knapweedbank.standin.StoreClient;
import org.knapweedbank.time.ManualClock;

class ClaimStoreTest {
    private static final Duration BATCH_WINDOW = Duration.ofMillis(20);

    private final ManualClock mClock = new ManualClock();
    private final InMemoryStore mStore = new InMemoryStore(mClock);
    private final StoreClient mClient = mStore.client();
    private final ClaimStore mClaims = new ClaimStore(mClient, mClock, ClaimSettings.standard());
    private final ClaimStore mOtherClaims =
            new ClaimStore(mStore.client(), mClock, ClaimSettings.standard());
    private final List<ClaimResult> mResults = new ArrayList<>();

    @BeforeEach
    void grantLeases() {
        mClaims.tick();
        mOtherClaims.tick();
    }

    private static ClaimRequest request(String key, String attempt) {
        return new ClaimRequest("holds", key, attempt, "agent-" + attempt);
    }

    private void claim(ClaimStore store, String key, String attempt) {
        store.claim(request(key, attempt)).subscribe().with(mResults::add);
    }

    private void runFor(Duration duration) {
        for (long elapsedMillis = 0; elapsedMillis < duration.toMillis(); elapsedMillis += 5) {
            mClock.advance(Duration.ofMillis(5));
            mStore.tick();
            mClaims.tick();
            mOtherClaims.tick();
        }
    }

    private ClaimResult claimAndAwait(ClaimStore store, String key, String attempt) {
        claim(store, key, attempt);
        runFor(BATCH_WINDOW);
        return mResults.removeLast();
    }

    private static ClaimResult.AlreadyClaimed alreadyClaimedBy(String attempt) {
        return new ClaimResult.AlreadyClaimed(attempt, "agent-" + attempt, ClaimState.CLAIMED);
    }

    private ReleaseResult releaseAndAwait(ClaimStore store, Claim claim) {
        List<ReleaseResult> results = new ArrayList<>();
        store.release(claim).subscribe().with(results::add);
        runFor(Duration.ofSeconds(3));
        return results.getFirst();
    }

    /** Guards against a request that runs twice because two attempts have claimed its key. */
    @Test
    void keyIsClaimedOnce() {
        assertThat(claimAndAwait(mClaims, "k", "1")).isInstanceOf(ClaimResult.Granted.class);
        assertThat(claimAndAwait(mClaims, "k", "2")).isEqualTo(alreadyClaimedBy("1"));
        assertThat(claimAndAwait(mOtherClaims, "k", "3")).isEqualTo(alreadyClaimedBy("1"));
        assertThat(claimAndAwait(mOtherClaims, "k2", "3")).isInstanceOf(ClaimResult.Granted.class);
    }

    /**
     * Guards against two claims of one key in one transaction, which the key-value service would
     * reject. They arise when both claims fall into one batching window.
     */
    @Test
    void claimsOfOneKeyInOneWindowGrantOne() {
        claim(mClaims, "k", "1");
        claim(mClaims, "k", "2");
        claim(mOtherClaims, "k", "3");
        runFor(BATCH_WINDOW.multipliedBy(2));
        assertThat(mResults).hasSize(3);
        assertThat(mResults.getFirst()).isInstanceOf(ClaimResult.Granted.class);
        assertThat(mResults.stream().filter(alreadyClaimedBy("1")::equals)).hasSize(2);
    }

    /** Guards against claims that wait for a full batch or need a write each. */
    @Test
    void claimsOfOneWindowShareWrites() {
        long writesBefore = mStore.counters().calls(StoreCallKind.WRITE);
        for (int i = 0; i < 250; i++) {
            claim(mClaims, "k" + i, "a" + i);
        }
        runFor(BATCH_WINDOW.multipliedBy(2));
        assertThat(mResults).hasSize(250);
        assertThat(mStore.counters().calls(StoreCallKind.WRITE) - writesBefore).isEqualTo(3);
    }

    /** Guards against a claim that waits although there is no other claim to share its write. */
    @Test
    void firstClaimAfterIdleTimeIsWrittenAtOnce() {
        claim(mClaims, "k", "1");
        mClaims.tick();
        assertThat(mResults).hasSize(1);
        claim(mClaims, "k2", "1");
        mClaims.tick();
        assertThat(mResults).hasSize(1);
        mClock.advance(BATCH_WINDOW);
        mClaims.tick();
        assertThat(mResults).hasSize(2);
    }

    /** Guards against a write rate that grows with the number of entry daemons. */
    @Test
    void writeRateOfAllEntriesIsBounded() {
        mClaims.setEntryCount(2);
        mOtherClaims.setEntryCount(2);
        long writesBefore = mStore.counters().calls(StoreCallKind.WRITE);
        for (int i = 0; i < 200; i++) {
            claim(mClaims, "a" + i, "1");
            claim(mOtherClaims, "b" + i, "1");
            runFor(Duration.ofMillis(5));
        }
        assertThat(mStore.counters().calls(StoreCallKind.WRITE) - writesBefore).isAtMost(50);
        runFor(BATCH_WINDOW.multipliedBy(2));
        assertThat(mResults).hasSize(400);
    }

    /** Guards against a lost response being mistaken for a granted or a refused claim. */
    @ParameterizedTest
    @CsvSource({"AFTER_EFFECT, 1", "BEFORE_EFFECT, 1", "AFTER_EFFECT, 2", "BEFORE_EFFECT, 2"})
    void claimIsReadBackAfterLostResponse(AnswerLoss loss, int count) {
        claimAndAwait(mOtherClaims, "taken", "0");
        mClient.faults().loseAnswers(StoreCallKind.WRITE, loss, count);
        claim(mClaims, "free", "1");
        claim(mClaims, "taken", "1");
        runFor(BATCH_WINDOW.multipliedBy(2));
        assertThat(mResults).hasSize(2);
        assertThat(mResults).contains(alreadyClaimedBy("0"));
        assertThat(mResults.stream().filter(ClaimResult.Granted.class::isInstance)).hasSize(1);
        assertThat(claimAndAwait(mOtherClaims, "free", "2")).isEqualTo(alreadyClaimedBy("1"));
    }

    /** Guards against an unknown outcome that is reported as certain. */
    @ParameterizedTest
    @CsvSource({"AFTER_EFFECT", "BEFORE_EFFECT"})
    void unresolvedOutcomeIsUnknownAndCanBeReleased(AnswerLoss loss) {
        mClient.faults().loseAnswers(StoreCallKind.WRITE, loss, 1);
        mClient.faults().loseAnswers(StoreCallKind.READ, AnswerLoss.AFTER_EFFECT, 1);
        ClaimResult result = claimAndAwait(mClaims, "k", "1");
        assertThat(result).isInstanceOf(ClaimResult.Unknown.class);
        Claim claim = ((ClaimResult.Unknown) result).claim();
        assertThat(releaseAndAwait(mClaims, claim)).isInstanceOf(ReleaseResult.Released.class);
        assertThat(claimAndAwait(mOtherClaims, "k", "2")).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against a delayed claim that takes effect after its release and blocks the key. */
    @Test
    void delayedClaimHasNoEffectAfterItsRelease() {
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.LATE_EFFECT, 3);
        ClaimResult result = claimAndAwait(mClaims, "k", "1");
        assertThat(result).isInstanceOf(ClaimResult.Unknown.class);
        Claim claim = ((ClaimResult.Unknown) result).claim();
        assertThat(releaseAndAwait(mClaims, claim)).isInstanceOf(ReleaseResult.Released.class);
        mStore.executeDelayedCalls();
        assertThat(claimAndAwait(mOtherClaims, "k", "2")).isInstanceOf(ClaimResult.Granted.class);
        assertThat(claimAndAwait(mClaims, "k", "3")).isEqualTo(alreadyClaimedBy("2"));
    }

    /** Guards against a delayed release that frees the claim of another attempt. */
    @Test
    void delayedReleaseDoesNotFreeALaterClaim() {
        Claim claim = ((ClaimResult.Granted) claimAndAwait(mClaims, "k", "1")).claim();
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.LATE_EFFECT, 1);
        assertThat(releaseAndAwait(mClaims, claim)).isInstanceOf(ReleaseResult.Released.class);
        assertThat(claimAndAwait(mOtherClaims, "k", "2")).isInstanceOf(ClaimResult.Granted.class);
        mStore.executeDelayedCalls();
        assertThat(claimAndAwait(mOtherClaims, "k", "3")).isEqualTo(alreadyClaimedBy("2"));
    }

    /** Guards against a key that is reported as claimed while the store is unreachable. */
    @Test
    void unreachableStoreIsUnavailableAndRecovers() {
        mClient.faults().down(true);
        assertThat(claimAndAwait(mClaims, "k", "1")).isInstanceOf(ClaimResult.Unavailable.class);
        mClient.faults().down(false);
        assertThat(claimAndAwait(mClaims, "k", "1")).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against claims that get no result because the store was unreachable at the start. */
    @Test
    void claimStoreStartsWhileStoreIsUnreachable() {
        mClient.faults().down(true);
        ClaimStore startedWhileDown = new ClaimStore(mClient, mClock, ClaimSettings.standard());
        claim(startedWhileDown, "k", "1");
        startedWhileDown.tick();
        startedWhileDown.tick();
        assertThat(mResults.getFirst()).isInstanceOf(ClaimResult.Unavailable.class);
        mClient.faults().down(false);
        mClock.advance(Duration.ofSeconds(1));
        startedWhileDown.tick();
        claim(startedWhileDown, "k", "1");
        mClock.advance(BATCH_WINDOW);
        startedWhileDown.tick();
        assertThat(mResults.getLast()).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against a key that stays blocked although its request was proven not to have run. */
    @ParameterizedTest
    @CsvSource({"none", "AFTER_EFFECT", "BEFORE_EFFECT", "down"})
    void releasedKeysCanBeClaimedByANewAttempt(String fault) {
        Claim claim = ((ClaimResult.Granted) claimAndAwait(mClaims, "k", "1")).claim();
        switch (fault) {
            case "none" -> {}
            case "down" -> mClient.faults().down(true);
            default ->
                    mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.valueOf(fault), 1);
        }
        List<ReleaseResult> results = new ArrayList<>();
        mClaims.release(claim).subscribe().with(results::add);
        runFor(Duration.ofSeconds(1));
        mClient.faults().down(false);
        runFor(Duration.ofSeconds(1));
        assertThat(results).containsExactly(new ReleaseResult.Released());
        assertThat(claimAndAwait(mOtherClaims, "k", "2")).isInstanceOf(ClaimResult.Granted.class);
        assertThat(releaseAndAwait(mClaims, claim)).isInstanceOf(ReleaseResult.NotHeld.class);
        assertThat(claimAndAwait(mClaims, "k", "3")).isEqualTo(alreadyClaimedBy("2"));
    }

    /** Guards against two attempts that both take over a released key. */
    @Test
    void releasedKeyIsClaimedOnce() {
        Claim claim = ((ClaimResult.Granted) claimAndAwait(mClaims, "k", "1")).claim();
        releaseAndAwait(mClaims, claim);
        claim(mClaims, "k", "2");
        claim(mOtherClaims, "k", "3");
        runFor(BATCH_WINDOW.multipliedBy(3));
        assertThat(mResults.stream().filter(ClaimResult.Granted.class::isInstance)).hasSize(1);
        assertThat(mResults).hasSize(2);
    }

    /** Guards against a release in the same window as a new claim that undoes the new claim. */
    @Test
    void releaseAndNewClaimInOneWindow() {
        Claim claim = ((ClaimResult.Granted) claimAndAwait(mClaims, "k", "1")).claim();
        mClaims.release(claim).subscribe().with(ignored -> {});
        claim(mClaims, "k", "2");
        runFor(BATCH_WINDOW.multipliedBy(3));
        assertThat(mResults.getFirst()).isInstanceOf(ClaimResult.Granted.class);
        assertThat(claimAndAwait(mOtherClaims, "k", "3")).isEqualTo(alreadyClaimedBy("2"));
    }

    /** Guards against claims that expire before 24 hours or never. */
    @Test
    void claimsExpireAfterTheRetention() {
        claimAndAwait(mClaims, "first", "1");
        mClock.advance(Duration.ofMinutes(53));
        runFor(BATCH_WINDOW);
        mClock.advance(Duration.ofMinutes(6));
        claimAndAwait(mClaims, "last", "1");
        mClock.advance(Duration.ofHours(24));
        runFor(Duration.ofSeconds(1));
        assertThat(claimAndAwait(mClaims, "last", "2")).isEqualTo(alreadyClaimedBy("1"));
        mClock.advance(Duration.ofHours(2));
        runFor(Duration.ofSeconds(1));
        assertThat(claimAndAwait(mClaims, "first", "2")).isInstanceOf(ClaimResult.Granted.class);
        assertThat(claimAndAwait(mClaims, "last", "2")).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against a revoked lease, under which the store would reject every claim. */
    @Test
    void revokedLeaseIsReplaced() {
        for (long lease = 1000; lease < 1010; lease++) {
            mStore.revoke(lease).await().indefinitely();
        }
        claim(mClaims, "k", "1");
        runFor(BATCH_WINDOW.multipliedBy(3));
        assertThat(mResults.getFirst()).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against key collisions between services. */
    @Test
    void keysAreScopedToAService() {
        claimAndAwait(mClaims, "k", "1");
        ClaimRequest other = new ClaimRequest("reports", "k", "2", "");
        mClaims.claim(other).subscribe().with(mResults::add);
        runFor(BATCH_WINDOW);
        assertThat(mResults.getLast()).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against a queue that grows without bound while the store is slow. */
    @Test
    void fullQueueRejectsClaims() {
        for (int i = 0; i <= ClaimSettings.standard().maxPendingChanges(); i++) {
            claim(mClaims, "k" + i, "a" + i);
        }
        assertThat(mResults).hasSize(1);
        assertThat(mResults.getFirst()).isInstanceOf(ClaimResult.Unavailable.class);
        mClaims.close();
        assertThat(mResults).hasSize(ClaimSettings.standard().maxPendingChanges() + 1);
    }
}
