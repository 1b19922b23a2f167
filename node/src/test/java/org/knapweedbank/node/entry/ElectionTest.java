package org.knapweedbank.node.entry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.owner.OwnerSettings;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.ManualTimers;
import org.knapweedbank.time.ManualClock;

/** Election of the owner among entries. */
class ElectionTest {
    private static final Duration TTL = Duration.ofSeconds(3);

    private final ManualClock mClock = new ManualClock();
    private final ManualTimers mTimers = new ManualTimers(mClock);
    private final FakeStore mStore = new FakeStore(mTimers);

    /** One entry that notes the outcome of elections. */
    private final class Candidate implements ElectionListener {
        private final List<Long> mTermsWon = new ArrayList<>();
        private final Election mElection;
        private String mOwnerAddress = "";
        private int mDepositions;
        private long mConfirmedTerm;

        Candidate(String name, double cpuShare) {
            OwnerSettings owner = new OwnerSettings(TTL, TTL, TTL, TTL, TTL, TTL, 1);
            EntrySettings settings =
                    new EntrySettings(new DaemonId(name), 1, name, 1, cpuShare, TTL, owner);
            mElection = new Election(settings, mStore, mTimers, DecisionLog.NONE, this);
            mElection.start();
        }

        @Override
        public void elected(long term, long termRevision) {
            mTermsWon.add(term);
            assertThat(mStore.item(StoreKeys.TERM).revision()).isEqualTo(termRevision);
        }

        @Override
        public void termConfirmed(long term) {
            mConfirmedTerm = term;
        }

        @Override
        public void deposed(long newerTerm) {
            mDepositions++;
        }

        @Override
        public void ownerFound(String address, long term) {
            mOwnerAddress = address;
        }
    }

    private void pass(int seconds) {
        mTimers.pass(Duration.ofSeconds(seconds));
    }

    /** Guards against two owners of one term. */
    @Test
    void oneOfSeveralIsElected() {
        Candidate first = new Candidate("a", 1);
        Candidate second = new Candidate("b", 1);
        pass(3);
        assertThat(first.mTermsWon.size() + second.mTermsWon.size()).isEqualTo(1);
        assertThat(first.mOwnerAddress + second.mOwnerAddress).isNotEmpty();
    }

    /** Guards against jobs that wait for the lease of an owner that knows that it can't write. */
    @Test
    void askedEntryTakesOverFromALivingOwner() {
        Candidate first = new Candidate("a", 1);
        pass(3);
        Candidate second = new Candidate("b", 1);
        pass(2);
        second.mElection.takeOver(1);
        mTimers.pass(Duration.ofMillis(50));
        assertThat(first.mTermsWon).containsExactly(1L);
        assertThat(second.mTermsWon).containsExactly(2L);
        pass(2);
        assertThat(first.mDepositions).isEqualTo(1);
    }

    /** Guards against a change of the owner for an outage that the other entry sees as well. */
    @Test
    void askedEntryStaysBackWhileTheStoreIsAway() {
        new Candidate("a", 1);
        pass(3);
        Candidate second = new Candidate("b", 1);
        pass(2);
        mStore.mUnavailable = true;
        second.mElection.takeOver(1);
        pass(1);
        mStore.mUnavailable = false;
        pass(2);
        assertThat(second.mTermsWon).isEmpty();
    }

    /** Guards against an owner that goes on because the store does not tell it of a later term. */
    @Test
    void wordOfALaterTermDeposesTheOwner() {
        Candidate first = new Candidate("a", 1);
        pass(3);
        first.mElection.superseded(1);
        assertThat(first.mDepositions).isEqualTo(0);
        first.mElection.superseded(2);
        assertThat(first.mDepositions).isEqualTo(1);
    }

    /** Guards against a deployment without an owner after its loss. */
    @Test
    void resignedOwnerIsFollowedByALaterTerm() {
        Candidate first = new Candidate("a", 1);
        pass(3);
        Candidate second = new Candidate("b", 1);
        pass(3);
        assertThat(second.mTermsWon).isEmpty();
        first.mElection.resign(() -> {});
        pass(3);
        assertThat(second.mTermsWon).containsExactly(2L);
        assertThat(first.mTermsWon).containsExactly(1L);
    }

    /** Guards against a change of owner for nothing when only the owner's key was taken away. */
    @Test
    void ownerWhoseKeyWasTakenAwayPutsItBackInItsTerm() {
        Candidate only = new Candidate("a", 1);
        pass(3);
        mStore.removeLeasedKeys();
        pass(4);
        assertThat(only.mTermsWon).containsExactly(1L);
        assertThat(only.mDepositions).isEqualTo(0);
        assertThat(mStore.item(StoreKeys.OWNER)).isNotNull();
    }

    /** Guards against an entry that stays out after its lease ended while the store was away. */
    @Test
    void entryIsBackAfterItsLeaseEnded() {
        Candidate only = new Candidate("a", 1);
        pass(3);
        mStore.mUnavailable = true;
        pass(4);
        mStore.expireAllLeases();
        mStore.mUnavailable = false;
        pass(3);
        assertThat(mStore.items(StoreKeys.ENTRY_PREFIX)).hasSize(1);
        assertThat(only.mConfirmedTerm).isAtLeast(1);
    }

    /** Guards against an entry that has won without knowing it. */
    @Test
    void electionWithALostAnswerIsNoticed() {
        mStore.mWriteFaults.add(FakeStore.WriteFault.REFUSED);
        mStore.mWriteFaults.add(FakeStore.WriteFault.ANSWER_LOST);
        Candidate only = new Candidate("a", 1);
        pass(5);
        assertThat(only.mTermsWon).hasSize(1);
        assertThat(only.mTermsWon.getLast()).isAtLeast(1);
        assertThat(only.mConfirmedTerm).isEqualTo(only.mTermsWon.getLast());
    }

    /** Guards against an owner on a weak VM while a strong one is there. */
    @Test
    void strongestEntryHasAHeadStart() {
        Candidate owner = new Candidate("o", 9);
        pass(3);
        Candidate weak = new Candidate("a", 0.2);
        Candidate strong = new Candidate("b", 1.5);
        pass(3);
        owner.mElection.leave(() -> {});
        pass(3);
        assertThat(strong.mTermsWon).hasSize(1);
        assertThat(weak.mTermsWon).isEmpty();
    }

    /** Guards against a stopping entry that announces itself again while it serves on. */
    @Test
    void entryThatHasLeftStaysOut() {
        Candidate only = new Candidate("a", 1);
        pass(3);
        only.mElection.leave(() -> {});
        pass(5);
        assertThat(mStore.items(StoreKeys.ENTRY_PREFIX)).isEmpty();
        assertThat(mStore.item(StoreKeys.OWNER)).isNull();
    }
}
