package org.knapweedbank.node.entry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.time.ManualClock;
import org.knapweedbank.time.Timestamp;

/** Tests when the other entries' answers confirm the term of the owner. */
class TermPollTest {
    private static final DaemonId FIRST = new DaemonId("first");
    private static final DaemonId SECOND = new DaemonId("second");

    private final ManualClock mClock = new ManualClock();
    private final TermPoll mPoll = new TermPoll(mClock);

    /** Guards against a confirmation while one entry may have begun a later term. */
    @Test
    void allEntriesHaveToAnswer() {
        Timestamp sentAt = Timestamp.now(mClock);
        long number = mPoll.open(Set.of(FIRST, SECOND));
        mClock.advance(Duration.ofMillis(300));
        assertThat(mPoll.handleAnswer(number, FIRST)).isEmpty();
        assertThat(mPoll.handleAnswer(number, FIRST)).isEmpty();
        assertThat(mPoll.handleAnswer(number, SECOND)).hasValue(sentAt);
    }

    /** Guards against answers to different queries that together count as one confirmation. */
    @Test
    void answersToDifferentQueriesDoNotAddUp() {
        long earlier = mPoll.open(Set.of(FIRST, SECOND));
        long later = mPoll.open(Set.of(FIRST, SECOND));
        assertThat(mPoll.handleAnswer(earlier, FIRST)).isEmpty();
        assertThat(mPoll.handleAnswer(later, SECOND)).isEmpty();
    }

    /** Guards against queries that pile up while an entry does not answer. */
    @Test
    void oldQueriesAreForgotten() {
        long oldest = mPoll.open(Set.of(FIRST));
        for (int i = 0; i < 100; i++) {
            mPoll.open(Set.of(FIRST));
        }
        assertThat(mPoll.handleAnswer(oldest, FIRST)).isEmpty();
    }
}
