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

/**
 * Compares the duplicate table with a model that keeps attempts and idempotency keys in plain maps.
 */
class DuplicateSequenceTest {
    /** Time for which the table remembers an ended attempt. */
    private static final Duration RETENTION = Duration.ofMinutes(2);

    /** Calls of the duplicate table, and the passing of time. */
    enum Action {
        ADMIT,
        QUERY,
        ANSWERED,
        UNKNOWN,
        NOT_RUN,
        WAIT
    }

    /** States of an attempt in the model. */
    enum State {
        RUNNING,
        ANSWERED,
        UNKNOWN,
        NOT_RUN
    }

    /**
     * One step of a generated sequence.
     *
     * @param attempt number of the attempt, 0 to 5; of the six, two have no idempotency key, two
     *     the first key and two the second
     * @param seconds time that passes with {@link Action#WAIT}
     */
    record Step(Action action, int attempt, int seconds) {}

    /** An attempt in the model. */
    private static final class Attempt {
        private final AttemptKey mKey;
        private State mState = State.RUNNING;

        /** Time at which the attempt is forgotten. */
        private long mExpiryNanos = Long.MAX_VALUE;

        private Attempt(AttemptKey key) {
            mKey = key;
        }
    }

    private ManualClock mClock;
    private DuplicateTable<String> mTable;
    private Map<String, Attempt> mAttemptsById;
    private Map<String, Attempt> mAttemptsByKey;

    /** Generates sequences of up to 80 steps. */
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

    /**
     * Guards against an attempt or key that runs again while its first run is remembered, and
     * against a wrong "not run".
     */
    @Property(tries = 500, seed = "20261205")
    void decisionsMatchModel(@ForAll("steps") List<Step> steps) {
        // jqwik uses one instance for all tries.
        mClock = new ManualClock();
        mTable = new DuplicateTable<>(new DuplicateLimits(64, 64, 100, 1_000, RETENTION), mClock);
        mAttemptsById = new HashMap<>();
        mAttemptsByKey = new HashMap<>();
        steps.forEach(this::run);
    }

    /** Performs a step on the table and the model. */
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
                assertWithMessage("decision on a query of %s", attempt)
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

    /** Checks the decision on an admission. */
    private void admit(AttemptKey attempt) {
        String expected = expectedDecision(attempt);
        String actual = decisionName(mTable.admit(attempt));
        assertWithMessage("decision on the admission of %s", attempt)
                .that(actual)
                .isEqualTo(expected);
        if (actual.equals("Run")) {
            Attempt admitted = new Attempt(attempt);
            mAttemptsById.put(attempt.attemptId(), admitted);
            if (attempt.hasKey()) {
                mAttemptsByKey.put(attempt.idempotencyKey(), admitted);
            }
        }
    }

    /**
     * Checks that the table accepts a refusal of an attempt that is unknown, running or refused
     * already, but not of one that has ended in another way.
     */
    private void refuse(Attempt known, AttemptKey attempt) {
        boolean accepted = mTable.notRun(attempt, "refused");
        boolean expected =
                known == null || known.mState == State.RUNNING || known.mState == State.NOT_RUN;
        assertWithMessage("whether a refusal of %s is accepted", attempt)
                .that(accepted)
                .isEqualTo(expected);
        if (known == null) {
            Attempt refused = new Attempt(attempt);
            mAttemptsById.put(attempt.attemptId(), refused);
            endAttempt(refused, true, State.NOT_RUN);
        } else if (known.mState == State.RUNNING) {
            mAttemptsByKey.remove(known.mKey.idempotencyKey(), known);
            endAttempt(known, true, State.NOT_RUN);
        }
    }

    /** Ends an attempt in the model if it was running. */
    private void endAttempt(Attempt attempt, boolean running, State state) {
        if (running) {
            attempt.mState = state;
            attempt.mExpiryNanos = mClock.monotonicNanos() + RETENTION.toNanos();
        }
    }

    /** Removes attempts whose retention has passed from the model. */
    private void removeExpired() {
        long now = mClock.monotonicNanos();
        mAttemptsById.values().removeIf(attempt -> attempt.mExpiryNanos <= now);
        mAttemptsByKey.values().removeIf(attempt -> attempt.mExpiryNanos <= now);
    }

    /** Returns the name of the decision that the model expects for an admission. */
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
