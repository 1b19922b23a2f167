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
        private long mEnds = Long.MAX_VALUE;

        private Attempt(AttemptKey key) {
            mKey = key;
        }
    }

    private ManualClock mClock;
    private DuplicateTable<String> mTable;
    private Map<String, Attempt> mAttempts;
    private Map<String, Attempt> mKeys;

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
    void runsWhatIsNotRemembered(@ForAll("steps") List<Step> steps) {
        // One instance serves all tries.
        mClock = new ManualClock();
        mTable = new DuplicateTable<>(new DuplicateLimits(64, 64, 100, 1_000, RETENTION), mClock);
        mAttempts = new HashMap<>();
        mKeys = new HashMap<>();
        steps.forEach(this::run);
    }

    private void run(Step step) {
        int number = step.attempt % 3;
        String key = number == 0 ? "" : "key" + number;
        AttemptKey attempt = new AttemptKey("attempt" + step.attempt, "svc", key, false);
        forgetExpired();
        Attempt known = mAttempts.get(attempt.attemptId());
        boolean running = known != null && known.mState == State.RUNNING;
        switch (step.action) {
            case ADMIT -> admit(attempt);
            case QUERY -> {
                String expected = expected(attempt);
                String name = name(mTable.query(attempt));
                assertWithMessage("query of %s", attempt)
                        .that(name)
                        .isEqualTo(expected.equals("Run") ? "Unknown" : expected);
            }
            case ANSWERED -> {
                mTable.answered(attempt.attemptId(), "answer", 10);
                end(known, running, State.ANSWERED);
            }
            case UNKNOWN -> {
                mTable.unknown(attempt.attemptId(), "broken");
                end(known, running, State.UNKNOWN);
            }
            case NOT_RUN -> notRun(known, attempt);
            case WAIT -> mClock.advance(Duration.ofSeconds(step.seconds));
        }
    }

    private void admit(AttemptKey attempt) {
        String expected = expected(attempt);
        String name = name(mTable.admit(attempt));
        assertWithMessage("admission of %s", attempt).that(name).isEqualTo(expected);
        if (name.equals("Run")) {
            Attempt fresh = new Attempt(attempt);
            mAttempts.put(attempt.attemptId(), fresh);
            if (attempt.hasKey()) {
                mKeys.put(attempt.idempotencyKey(), fresh);
            }
        }
    }

    /**
     * A refusal holds for an attempt that is unknown or still held back, never for one that ended.
     */
    private void notRun(Attempt known, AttemptKey attempt) {
        boolean marked = mTable.notRun(attempt, "refused");
        boolean expected =
                known == null || known.mState == State.RUNNING || known.mState == State.NOT_RUN;
        assertWithMessage("refusal of %s", attempt).that(marked).isEqualTo(expected);
        if (known == null) {
            Attempt refused = new Attempt(attempt);
            mAttempts.put(attempt.attemptId(), refused);
            end(refused, true, State.NOT_RUN);
        } else if (known.mState == State.RUNNING) {
            mKeys.remove(known.mKey.idempotencyKey(), known);
            end(known, true, State.NOT_RUN);
        }
    }

    private void end(Attempt attempt, boolean running, State state) {
        if (running) {
            attempt.mState = state;
            attempt.mEnds = mClock.monotonicNanos() + RETENTION.toNanos();
        }
    }

    private void forgetExpired() {
        long now = mClock.monotonicNanos();
        mAttempts.values().removeIf(attempt -> attempt.mEnds <= now);
        mKeys.values().removeIf(attempt -> attempt.mEnds <= now);
    }

    private String expected(AttemptKey key) {
        Attempt known = mAttempts.get(key.attemptId());
        if (known == null && key.hasKey()) {
            known = mKeys.get(key.idempotencyKey());
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

    private static String name(DuplicateDecision<String> decision) {
        return decision.getClass().getSimpleName();
    }
}
