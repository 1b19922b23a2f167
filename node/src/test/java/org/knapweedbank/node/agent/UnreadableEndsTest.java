package org.knapweedbank.node.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.time.ManualClock;

/** Tests for how long ends after an unreadable one are held back. */
class UnreadableEndsTest {
    private static final EndedRun SECOND_END = end(2);

    private final ManualClock mClock = new ManualClock();
    private final UnreadableEnds mEnds = new UnreadableEnds(mClock);

    private static EndedRun end(long number) {
        return new EndedRun(number, TaskName.parse("a.0.0." + number), 1, EndKind.DONE, "");
    }

    /** Returns the ends that may be acknowledged from a list without the first end. */
    private List<EndedRun> listIncomplete(long incarnation) {
        return listIncomplete(incarnation, List.of(SECOND_END));
    }

    private List<EndedRun> listIncomplete(long incarnation, List<EndedRun> ended) {
        return mEnds.withoutHeldBack(
                new WorkerId("w", incarnation),
                new LeaseRenewalReply.Renewed(0, incarnation, List.of(), ended, false, true),
                0);
    }

    /** Guards against an unread end that the first list of an incarnation discards. */
    @Test
    void nextIncarnationGetsTheWholeHoldTime() {
        listIncomplete(1);
        for (int i = 0; i < 3; i++) {
            mClock.advance(Duration.ofMillis(500));
            assertThat(listIncomplete(1)).isEmpty();
        }
        for (int i = 0; i < 4; i++) {
            mClock.advance(Duration.ofMillis(500));
            assertThat(listIncomplete(2)).isEmpty();
        }
        mClock.advance(Duration.ofMillis(500));
        assertThat(listIncomplete(2)).containsExactly(SECOND_END);
    }

    /** Guards against an unread end that the first list after a silence discards. */
    @Test
    void silenceDoesNotCount() {
        listIncomplete(1);
        mClock.advance(Duration.ofSeconds(10));
        assertThat(listIncomplete(1)).isEmpty();
    }

    /** Guards against an unread end that is discarded because another has been unread for long. */
    @Test
    void eachUnreadEndGetsTheWholeHoldTime() {
        listIncomplete(1);
        for (int i = 0; i < 4; i++) {
            mClock.advance(Duration.ofMillis(500));
            listIncomplete(1);
        }
        List<EndedRun> laterList = List.of(end(4), SECOND_END);
        assertThat(listIncomplete(1, laterList)).containsExactly(SECOND_END);
        mClock.advance(Duration.ofSeconds(1));
        assertThat(listIncomplete(1, laterList)).containsExactly(SECOND_END);
        mClock.advance(Duration.ofSeconds(1));
        assertThat(listIncomplete(1, laterList)).containsExactly(SECOND_END, end(4)).inOrder();
    }

    /** Guards against ends that a worker which answers rarely never gets acknowledged. */
    @Test
    void rareListsEndTheHoldTime() {
        listIncomplete(1);
        mClock.advance(Duration.ofSeconds(3));
        assertThat(listIncomplete(1)).isEmpty();
        mClock.advance(Duration.ofSeconds(3));
        assertThat(listIncomplete(1)).containsExactly(SECOND_END);
    }
}
