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
    private static final Duration WINDOW = Duration.ofMillis(20);

    private final ManualClock mClock = new ManualClock();
    private final InMemoryStore mStore = new InMemoryStore(mClock);
    private final StoreClient mClient = mStore.client();
    private final ClaimStore mClaims = new ClaimStore(mClient, mClock, ClaimSettings.standard());
    private final ClaimStore mOther =
            new ClaimStore(mStore.client(), mClock, ClaimSettings.standard());
    private final List<ClaimResult> mResults = new ArrayList<>();

    @BeforeEach
    void grantLeases() {
        mClaims.tick();
        mOther.tick();
    }

    private static ClaimRequest request(String key, String attempt) {
        return new ClaimRequest("holds", key, attempt, "agent-" + attempt);
    }

    private void claim(ClaimStore store, String key, String attempt) {
        store.claim(request(key, attempt)).subscribe().with(mResults::add);
    }

    private void run(Duration duration) {
        for (long t = 0; t < duration.toMillis(); t += 5) {
            mClock.advance(Duration.ofMillis(5));
            mStore.tick();
            mClaims.tick();
            mOther.tick();
        }
    }

    private ClaimResult claimed(ClaimStore store, String key, String attempt) {
        claim(store, key, attempt);
        run(WINDOW);
        return mResults.removeLast();
    }

    private static ClaimResult.AlreadyClaimed heldBy(String attempt) {
        return new ClaimResult.AlreadyClaimed(attempt, "agent-" + attempt, ClaimState.CLAIMED);
    }

    private ReleaseResult released(ClaimStore store, Claim claim) {
        List<ReleaseResult> results = new ArrayList<>();
        store.release(claim).subscribe().with(results::add);
        run(Duration.ofSeconds(3));
        return results.getFirst();
    }

    /** Guards against a request that runs twice because two attempts hold its key. */
    @Test
    void keyIsClaimedOnce() {
        assertThat(claimed(mClaims, "k", "1")).isInstanceOf(ClaimResult.Granted.class);
        assertThat(claimed(mClaims, "k", "2")).isEqualTo(heldBy("1"));
        assertThat(claimed(mOther, "k", "3")).isEqualTo(heldBy("1"));
        assertThat(claimed(mOther, "k2", "3")).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against two claims of one key in one window, which the service would refuse. */
    @Test
    void sameKeyInOneWindow() {
        claim(mClaims, "k", "1");
        claim(mClaims, "k", "2");
        claim(mOther, "k", "3");
        run(WINDOW.multipliedBy(2));
        assertThat(mResults).hasSize(3);
        assertThat(mResults.getFirst()).isInstanceOf(ClaimResult.Granted.class);
        assertThat(mResults.stream().filter(heldBy("1")::equals)).hasSize(2);
    }

    /** Guards against a claim that waits for a full write or costs a write of its own. */
    @Test
    void claimsOfAWindowShareAWrite() {
        long before = mStore.counters().calls(StoreCallKind.WRITE);
        for (int i = 0; i < 250; i++) {
            claim(mClaims, "k" + i, "a" + i);
        }
        run(WINDOW.multipliedBy(2));
        assertThat(mResults).hasSize(250);
        assertThat(mStore.counters().calls(StoreCallKind.WRITE) - before).isEqualTo(3);
    }

    /** Guards against a claim that waits though no other claim can share its write. */
    @Test
    void firstClaimAfterAnIdleTimeDoesNotWait() {
        claim(mClaims, "k", "1");
        mClaims.tick();
        assertThat(mResults).hasSize(1);
        claim(mClaims, "k2", "1");
        mClaims.tick();
        assertThat(mResults).hasSize(1);
        mClock.advance(WINDOW);
        mClaims.tick();
        assertThat(mResults).hasSize(2);
    }

    /** Guards against a rate of writes that grows with the number of entries. */
    @Test
    void writesOfAllEntriesAreBounded() {
        mClaims.shareWith(2);
        mOther.shareWith(2);
        long before = mStore.counters().calls(StoreCallKind.WRITE);
        for (int i = 0; i < 200; i++) {
            claim(mClaims, "a" + i, "1");
            claim(mOther, "b" + i, "1");
            run(Duration.ofMillis(5));
        }
        assertThat(mStore.counters().calls(StoreCallKind.WRITE) - before).isAtMost(50);
        run(WINDOW.multipliedBy(2));
        assertThat(mResults).hasSize(400);
    }

    /** Guards against lost answers that are taken for a claim, or for none, by mistake. */
    @ParameterizedTest
    @CsvSource({"AFTER_EFFECT, 1", "BEFORE_EFFECT, 1", "AFTER_EFFECT, 2", "BEFORE_EFFECT, 2"})
    void lostAnswersAreReadBack(AnswerLoss loss, int count) {
        claimed(mOther, "taken", "0");
        mClient.faults().loseAnswers(StoreCallKind.WRITE, loss, count);
        claim(mClaims, "free", "1");
        claim(mClaims, "taken", "1");
        run(WINDOW.multipliedBy(2));
        assertThat(mResults).hasSize(2);
        assertThat(mResults).contains(heldBy("0"));
        assertThat(mResults.stream().filter(ClaimResult.Granted.class::isInstance)).hasSize(1);
        assertThat(claimed(mOther, "free", "2")).isEqualTo(heldBy("1"));
    }

    /** Guards against an unknown outcome that is reported as certain. */
    @ParameterizedTest
    @CsvSource({"AFTER_EFFECT", "BEFORE_EFFECT"})
    void unresolvedOutcomeIsUnknownAndCanBeReleased(AnswerLoss loss) {
        mClient.faults().loseAnswers(StoreCallKind.WRITE, loss, 1);
        mClient.faults().loseAnswers(StoreCallKind.READ, AnswerLoss.AFTER_EFFECT, 1);
        ClaimResult result = claimed(mClaims, "k", "1");
        assertThat(result).isInstanceOf(ClaimResult.Unknown.class);
        Claim claim = ((ClaimResult.Unknown) result).claim();
        assertThat(released(mClaims, claim)).isInstanceOf(ReleaseResult.Released.class);
        assertThat(claimed(mOther, "k", "2")).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against a claim that arrives after its release and blocks the key again. */
    @Test
    void lateClaimHasNoEffectAfterItsRelease() {
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.LATE_EFFECT, 3);
        ClaimResult result = claimed(mClaims, "k", "1");
        assertThat(result).isInstanceOf(ClaimResult.Unknown.class);
        Claim claim = ((ClaimResult.Unknown) result).claim();
        assertThat(released(mClaims, claim)).isInstanceOf(ReleaseResult.Released.class);
        mStore.deliverLate();
        assertThat(claimed(mOther, "k", "2")).isInstanceOf(ClaimResult.Granted.class);
        assertThat(claimed(mClaims, "k", "3")).isEqualTo(heldBy("2"));
    }

    /** Guards against a release that arrives late and frees the claim of another attempt. */
    @Test
    void lateReleaseDoesNotFreeALaterClaim() {
        Claim claim = ((ClaimResult.Granted) claimed(mClaims, "k", "1")).claim();
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.LATE_EFFECT, 1);
        assertThat(released(mClaims, claim)).isInstanceOf(ReleaseResult.Released.class);
        assertThat(claimed(mOther, "k", "2")).isInstanceOf(ClaimResult.Granted.class);
        mStore.deliverLate();
        assertThat(claimed(mOther, "k", "3")).isEqualTo(heldBy("2"));
    }

    /** Guards against a keyed request that is taken for claimed while the store is down. */
    @Test
    void downIsUnavailableAndRecovers() {
        mClient.faults().down(true);
        assertThat(claimed(mClaims, "k", "1")).isInstanceOf(ClaimResult.Unavailable.class);
        mClient.faults().down(false);
        assertThat(claimed(mClaims, "k", "1")).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against claims that hang when the store was down from the start. */
    @Test
    void startsWhileTheStoreIsDown() {
        mClient.faults().down(true);
        ClaimStore late = new ClaimStore(mClient, mClock, ClaimSettings.standard());
        claim(late, "k", "1");
        late.tick();
        late.tick();
        assertThat(mResults.getFirst()).isInstanceOf(ClaimResult.Unavailable.class);
        mClient.faults().down(false);
        mClock.advance(Duration.ofSeconds(1));
        late.tick();
        claim(late, "k", "1");
        mClock.advance(WINDOW);
        late.tick();
        assertThat(mResults.getLast()).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against a key that stays blocked after its request was proven not to have run. */
    @ParameterizedTest
    @CsvSource({"none", "AFTER_EFFECT", "BEFORE_EFFECT", "down"})
    void releasedKeysCanBeClaimedByANewAttempt(String fault) {
        Claim claim = ((ClaimResult.Granted) claimed(mClaims, "k", "1")).claim();
        switch (fault) {
            case "none" -> {}
            case "down" -> mClient.faults().down(true);
            default ->
                    mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.valueOf(fault), 1);
        }
        List<ReleaseResult> results = new ArrayList<>();
        mClaims.release(claim).subscribe().with(results::add);
        run(Duration.ofSeconds(1));
        mClient.faults().down(false);
        run(Duration.ofSeconds(1));
        assertThat(results).containsExactly(new ReleaseResult.Released());
        assertThat(claimed(mOther, "k", "2")).isInstanceOf(ClaimResult.Granted.class);
        assertThat(released(mClaims, claim)).isInstanceOf(ReleaseResult.NotHeld.class);
        assertThat(claimed(mClaims, "k", "3")).isEqualTo(heldBy("2"));
    }

    /** Guards against two attempts that both take over a released key. */
    @Test
    void releasedKeyIsClaimedOnce() {
        Claim claim = ((ClaimResult.Granted) claimed(mClaims, "k", "1")).claim();
        released(mClaims, claim);
        claim(mClaims, "k", "2");
        claim(mOther, "k", "3");
        run(WINDOW.multipliedBy(3));
        assertThat(mResults.stream().filter(ClaimResult.Granted.class::isInstance)).hasSize(1);
        assertThat(mResults).hasSize(2);
    }

    /** Guards against a release in the same window as a new claim that undoes the new claim. */
    @Test
    void releaseAndNewClaimInOneWindow() {
        Claim claim = ((ClaimResult.Granted) claimed(mClaims, "k", "1")).claim();
        mClaims.release(claim).subscribe().with(ignored -> {});
        claim(mClaims, "k", "2");
        run(WINDOW.multipliedBy(3));
        assertThat(mResults.getFirst()).isInstanceOf(ClaimResult.Granted.class);
        assertThat(claimed(mOther, "k", "3")).isEqualTo(heldBy("2"));
    }

    /** Guards against claims that end before 24 hours or never. */
    @Test
    void claimsEndAfterTheRetention() {
        claimed(mClaims, "first", "1");
        mClock.advance(Duration.ofMinutes(53));
        run(WINDOW);
        mClock.advance(Duration.ofMinutes(6));
        claimed(mClaims, "last", "1");
        mClock.advance(Duration.ofHours(24));
        run(Duration.ofSeconds(1));
        assertThat(claimed(mClaims, "last", "2")).isEqualTo(heldBy("1"));
        mClock.advance(Duration.ofHours(2));
        run(Duration.ofSeconds(1));
        assertThat(claimed(mClaims, "first", "2")).isInstanceOf(ClaimResult.Granted.class);
        assertThat(claimed(mClaims, "last", "2")).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against a store that has dropped the lease, which would refuse every claim. */
    @Test
    void lostLeaseIsReplaced() {
        for (long lease = 1000; lease < 1010; lease++) {
            mStore.revoke(lease).await().indefinitely();
        }
        claim(mClaims, "k", "1");
        run(WINDOW.multipliedBy(3));
        assertThat(mResults.getFirst()).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against services that share keys by accident. */
    @Test
    void keysBelongToAService() {
        claimed(mClaims, "k", "1");
        ClaimRequest other = new ClaimRequest("reports", "k", "2", "");
        mClaims.claim(other).subscribe().with(mResults::add);
        run(WINDOW);
        assertThat(mResults.getLast()).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against memory that grows without bound while the store is slow. */
    @Test
    void fullQueueRefusesClaims() {
        for (int i = 0; i <= ClaimSettings.standard().maxWaiting(); i++) {
            claim(mClaims, "k" + i, "a" + i);
        }
        assertThat(mResults).hasSize(1);
        assertThat(mResults.getFirst()).isInstanceOf(ClaimResult.Unavailable.class);
        mClaims.close();
        assertThat(mResults).hasSize(ClaimSettings.standard().maxWaiting() + 1);
    }
}
