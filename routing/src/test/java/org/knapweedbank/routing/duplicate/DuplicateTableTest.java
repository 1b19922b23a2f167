package org.knapweedbank.routing.duplicate;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedbank.time.ManualClock;

class DuplicateTableTest {
    private static final Duration RETENTION = Duration.ofMinutes(2);
    private static final DuplicateLimits LIMITS = new DuplicateLimits(4, 2, 10, 15, RETENTION);

    private final ManualClock mClock = new ManualClock();
    private final DuplicateTable<String> mTable = new DuplicateTable<>(LIMITS, mClock);

    /** Guards against running a request with the same key again, before or after it is answered. */
    @Test
    void repeatOfKeyJoinsAndThenReplays() {
        assertThat(mTable.admit(keyed("a1", "k"))).isEqualTo(new DuplicateDecision.Run<>());
        assertThat(mTable.admit(keyed("a2", "k"))).isEqualTo(new DuplicateDecision.Join<>("a1"));
        mTable.answered("a1", "yes", 3);
        assertThat(mTable.admit(keyed("a3", "k"))).isEqualTo(new DuplicateDecision.Replay<>("yes"));
        assertThat(mTable.admit(keyed("a1", "k"))).isEqualTo(new DuplicateDecision.Replay<>("yes"));
    }

    /** Guards against using the key of one service for another. */
    @Test
    void keysAreScopedByService() {
        mTable.admit(keyed("a1", "k"));
        assertThat(mTable.admit(new AttemptKey("a2", "other", "k", false)))
                .isEqualTo(new DuplicateDecision.Run<>());
    }

    /** Guards against running a delayed duplicate after "not run" was reported. */
    @Test
    void markedAttemptDoesNotRunButItsKeyMayRunAgain() {
        mTable.admit(keyed("a1", "k"));
        assertThat(mTable.notRun(keyed("a1", "k"), "queue is full")).isTrue();
        assertThat(mTable.admit(keyed("a1", "k")))
                .isEqualTo(new DuplicateDecision.NotRun<>("queue is full"));
        assertThat(mTable.admit(keyed("a2", "k"))).isEqualTo(new DuplicateDecision.Run<>());
    }

    /** Guards against reporting "not run" for an attempt that was forwarded. */
    @Test
    void attemptThatRanCannotBeMarked() {
        mTable.admit(unkeyed("a1"));
        mTable.unknown("a1", "connection broke");
        assertThat(mTable.notRun(unkeyed("a1"), "late")).isFalse();
        assertThat(mTable.admit(unkeyed("a1")))
                .isEqualTo(new DuplicateDecision.Unknown<>("connection broke"));
    }

    /** Guards against dropping an entry within its retention time to make room. */
    @Test
    void fullTableRefusesUntilRetentionHasPassed() {
        for (int i = 0; i < 4; i++) {
            mTable.admit(unkeyed("a" + i));
        }
        mTable.answered("a0", null, 0);
        assertThat(mTable.admit(unkeyed("b"))).isInstanceOf(DuplicateDecision.Refuse.class);
        mClock.advance(RETENTION.minusNanos(1));
        assertThat(mTable.admit(unkeyed("b"))).isInstanceOf(DuplicateDecision.Refuse.class);
        assertThat(mTable.admit(unkeyed("a1"))).isEqualTo(new DuplicateDecision.Join<>("a1"));
        mClock.advance(Duration.ofNanos(1));
        assertThat(mTable.admit(unkeyed("b"))).isEqualTo(new DuplicateDecision.Run<>());
        assertThat(mTable.refused()).isEqualTo(2);
    }

    /** Guards against reporting "not run" when the attempt cannot be marked. */
    @Test
    void refusesMarkWhenMarksAreFull() {
        assertThat(mTable.notRun(unkeyed("a1"), "x")).isTrue();
        assertThat(mTable.notRun(unkeyed("a2"), "x")).isTrue();
        assertThat(mTable.notRun(unkeyed("a3"), "x")).isFalse();
        assertThat(mTable.notRun(unkeyed("a1"), "x")).isTrue();
        mClock.advance(RETENTION);
        mTable.expire();
        assertThat(mTable.notRun(unkeyed("a3"), "x")).isTrue();
    }

    /** Guards against recorded answers exceeding the memory limits. */
    @Test
    void answersBeyondTheBoundsAreNotRecorded() {
        mTable.admit(keyed("a1", "k1"));
        mTable.answered("a1", "large", 11);
        assertThat(mTable.query(keyed("a1", "k1"))).isInstanceOf(DuplicateDecision.Unknown.class);
        mTable.admit(keyed("a2", "k2"));
        mTable.answered("a2", "ten", 10);
        mTable.admit(keyed("a3", "k3"));
        mTable.answered("a3", "six", 6);
        assertThat(mTable.query(keyed("a2", "k2")))
                .isEqualTo(new DuplicateDecision.Replay<>("ten"));
        assertThat(mTable.query(keyed("a3", "k3"))).isInstanceOf(DuplicateDecision.Unknown.class);
        assertThat(mTable.unrecordedAnswers()).isEqualTo(2);
        mClock.advance(RETENTION);
        mTable.expire();
        assertThat(mTable.answerBytes()).isEqualTo(0);
        assertThat(mTable.size()).isEqualTo(0);
    }

    /**
     * Guards against a query recording the attempt and thereby preventing it from running later.
     */
    @Test
    void queryDoesNotAdmitTheAttempt() {
        assertThat(mTable.query(keyed("a1", "k"))).isInstanceOf(DuplicateDecision.Unknown.class);
        assertThat(mTable.size()).isEqualTo(0);
        assertThat(mTable.admit(keyed("a1", "k"))).isEqualTo(new DuplicateDecision.Run<>());
    }

    /** Guards against idempotent requests filling the table. */
    @Test
    void idempotentRequestIsForgottenAtItsEnd() {
        AttemptKey key = new AttemptKey("a1", "svc", "", true);
        mTable.admit(key);
        assertThat(mTable.admit(key)).isEqualTo(new DuplicateDecision.Join<>("a1"));
        mTable.answered("a1", null, 0);
        assertThat(mTable.size()).isEqualTo(0);
    }

    /** Guards against a sequence of events that runs an attempt twice or runs a marked attempt. */
    @Test
    void neverRunsAttemptTwiceInRandomOrder() {
        Random random = new Random(4711);
        DuplicateTable<String> table =
                new DuplicateTable<>(
                        new DuplicateLimits(16, 8, 10, 100, Duration.ofSeconds(2)), mClock);
        Set<String> ran = new HashSet<>();
        Set<String> marked = new HashSet<>();
        Set<String> running = new HashSet<>();
        for (int i = 0; i < 40_000; i++) {
            AttemptKey key = unkeyed("a" + (i / 40 + random.nextInt(30)));
            String id = key.attemptId();
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    if (table.admit(key) instanceof DuplicateDecision.Run) {
                        assertThat(ran.add(id)).isTrue();
                        assertThat(marked).doesNotContain(id);
                        running.add(id);
                    }
                }
                case 2 -> {
                    if (running.remove(id)) {
                        table.answered(id, "x", 1);
                    }
                }
                default -> {
                    if (!running.contains(id) && table.notRun(key, "x")) {
                        assertThat(ran).doesNotContain(id);
                        marked.add(id);
                    }
                }
            }
            mClock.advance(Duration.ofMillis(1));
            assertThat(table.size()).isAtMost(24);
        }
        assertThat(ran.size()).isGreaterThan(100);
    }

    private static AttemptKey keyed(String attempt, String key) {
        return new AttemptKey(attempt, "svc", key, false);
    }

    private static AttemptKey unkeyed(String attempt) {
        return new AttemptKey(attempt, "svc", "", false);
    }
}
