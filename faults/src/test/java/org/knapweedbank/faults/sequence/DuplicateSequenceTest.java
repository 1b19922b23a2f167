package org.knapweedbank.faults.sequence;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.knapweedbank.routing.duplicate.AttemptKey;
import org.knapweedbank.routing.duplicate.DuplicateDecision;
import org.knapweedbank.routing.duplicate.DuplicateLimits;
import org.knapweedbank.routing.duplicate.DuplicateTable;
import org.knapweedbank.time.ManualClock;

/** Compares duplicate suppression with a model that keeps each attempt and key in plain maps. */
class DuplicateSequenceTest {
    private static final Duration RETENTION = Duration.ofMinutes(2);

    enum Action {
        ADMIT,
        QUERY,
        ANSWERED,
        UNKNOWN,
        NOT_RUN,
        WAIT
    }

    enum State {
        RUNNING,
        ANSWERED,
        UNKNOWN,
        NOT_RUN
    }

    /** An attempt from 0 to 5; two attempts each have no key, the first key and the second. */
    record Step(Action action, int attempt, int seconds) {}

    /** What the model knows of an attempt. */
    private static final class Attempt {
        private final AttemptKey mKey;
        private State mState = State.RUNNING;
        private long mExpiryNanos = Long.MAX_VALUE;

        private Attempt(AttemptKey key) {
            mKey = key;
        }
    }

    private ManualClock mClock;
    private DuplicateTable<String> mTable;
    private Map<String, Attempt> mAttemptsById;
    private Map<String, Attempt> mAttemptsByKey;

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Action.class),
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(1, 90))
                .as(Step::new)
                .list()
                .ofMaxSize(80);
    }

    /** Guards against an attempt or key that runs again, or a "not run" that is not true. */
    @Property(tries = 500, seed = "20261205")
    void decisionsMatchModel(@ForAll("steps") List<Step> steps) {
        // One instance serves all tries.
        mClock = new ManualClock();
        mTable = new DuplicateTable<>(new DuplicateLimits(64, 64, 100, 1_000, RETENTION), mClock);
        mAttemptsById = new HashMap<>();
        mAttemptsByKey = new HashMap<>();
        steps.forEach(this::run);
    }

    private void run(Step step) {
        int keyNumber = step.attempt % 3;
        String key = keyNumber == 0 ? "" : "key" + keyNumber;
        AttemptKey attempt = new AttemptKey("attempt" + step.attempt, "svc", key, false);
        removeExpired();
        Attempt known = mAttemptsById.get(attempt.attemptId());
        boolean running = known != null && known.mState == State.RUNNING;
        switch (step.action) {
            case ADMIT -> admit(attempt);
            case QUERY -> {
                String expected = expectedDecision(attempt);
                String actual = decisionName(mTable.query(attempt));
                assertWithMessage("query of %s", attempt)
                        .that(actual)
                        .isEqualTo(expected.equals("Run") ? "Unknown" : expected);
            }
            case ANSWERED -> {
                mTable.answered(attempt.attemptId(), "answer", 10);
                endAttempt(known, running, State.ANSWERED);
            }
            case UNKNOWN -> {
                mTable.unknown(attempt.attemptId(), "broken");
                endAttempt(known, running, State.UNKNOWN);
            }
            case NOT_RUN -> refuse(known, attempt);
            case WAIT -> mClock.advance(Duration.ofSeconds(step.seconds));
        }
    }

    private void admit(AttemptKey attempt) {
        String expected = expectedDecision(attempt);
        String actual = decisionName(mTable.admit(attempt));
        assertWithMessage("admission of %s", attempt).that(actual).isEqualTo(expected);
        if (actual.equals("Run")) {
            Attempt admitted = new Attempt(attempt);
            mAttemptsById.put(attempt.attemptId(), admitted);
            if (attempt.hasKey()) {
                mAttemptsByKey.put(attempt.idempotencyKey(), admitted);
            }
        }
    }

    /**
     * A refusal holds for an attempt that is unknown or still held back, never for one that ended.
     */
    private void refuse(Attempt known, AttemptKey attempt) {
        boolean accepted = mTable.notRun(attempt, "refused");
        boolean expected =
                known == null || known.mState == State.RUNNING || known.mState == State.NOT_RUN;
        assertWithMessage("refusal of %s", attempt).that(accepted).isEqualTo(expected);
        if (known == null) {
            Attempt refused = new Attempt(attempt);
            mAttemptsById.put(attempt.attemptId(), refused);
            endAttempt(refused, true, State.NOT_RUN);
        } else if (known.mState == State.RUNNING) {
            mAttemptsByKey.remove(known.mKey.idempotencyKey(), known);
            endAttempt(known, true, State.NOT_RUN);
        }
    }

    private void endAttempt(Attempt attempt, boolean running, State state) {
        if (running) {
            attempt.mState = state;
            attempt.mExpiryNanos = mClock.monotonicNanos() + RETENTION.toNanos();
        }
    }

    private void removeExpired() {
        long now = mClock.monotonicNanos();
        mAttemptsById.values().removeIf(attempt -> attempt.mExpiryNanos <= now);
        mAttemptsByKey.values().removeIf(attempt -> attempt.mExpiryNanos <= now);
    }

    private String expectedDecision(AttemptKey key) {
        Attempt known = mAttemptsById.get(key.attemptId());
        if (known == null && key.hasKey()) {
            known = mAttemptsByKey.get(key.idempotencyKey());
        }
        if (known == null) {
            return "Run";
        }
        return switch (known.mState) {
            case RUNNING -> "Join";
            case ANSWERED -> "Replay";
            case UNKNOWN -> "Unknown";
            case NOT_RUN -> "NotRun";
        };
    }

    private static String decisionName(DuplicateDecision<String> decision) {
        return decision.getClass().getSimpleName();
    }
}
