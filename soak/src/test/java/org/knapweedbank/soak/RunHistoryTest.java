package org.knapweedbank.soak;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.knapweedbank.soak.RunEvent.Kind;
import org.knapweedbank.time.SystemClock;

/**
 * Guards against a soak that passes because its check misses a task that runs twice, or takes a job
 * for failed by its runs that isn't.
 */
final class RunHistoryTest {
    private static final String TASK = "00000000000000aa.0.0.0";
    private final RunHistory mHistory = new RunHistory(new SystemClock());

    private void record(Kind kind, String worker, long incarnation, long run, String detail) {
        String task = kind == Kind.LEASE_EXPIRED ? "" : TASK;
        mHistory.record(kind, worker, incarnation, 1, task, run, detail);
    }

    @Test
    void startWhileRunOnOtherWorkerIsTwice() {
        record(Kind.START, "w-0", 1, 1, "");
        record(Kind.START, "w-1", 1, 2, "");
        assertThat(mHistory.violations()).hasSize(1);
        assertThat(mHistory.violations().get(0).subject()).isEqualTo("00000000000000aa");
    }

    @Test
    void startAfterCrashIsAllowed() {
        record(Kind.START, "w-0", 1, 1, "");
        record(Kind.END, "w-0", 1, 1, "crash");
        record(Kind.START, "w-0", 2, 2, "");
        assertThat(mHistory.violations()).isEmpty();
    }

    @Test
    void startAfterAcknowledgedEndIsTwice() {
        record(Kind.START, "w-0", 1, 1, "");
        record(Kind.END, "w-0", 1, 1, "done");
        record(Kind.ACKNOWLEDGED, "w-0", 1, 1, "");
        record(Kind.START, "w-1", 1, 2, "");
        assertThat(mHistory.violations()).hasSize(1);
    }

    @Test
    void startBeforeEndIsAcknowledgedIsTwice() {
        record(Kind.START, "w-0", 1, 1, "");
        record(Kind.END, "w-0", 1, 1, "done");
        record(Kind.START, "w-1", 1, 2, "");
        assertThat(mHistory.violations()).isEmpty();
        record(Kind.ACKNOWLEDGED, "w-0", 1, 1, "");
        assertThat(mHistory.violations()).hasSize(1);
    }

    @Test
    void acknowledgementAfterLeaseExpiryDoesNotCount() {
        record(Kind.START, "w-0", 1, 1, "");
        record(Kind.END, "w-0", 1, 1, "done");
        record(Kind.LEASE_EXPIRED, "w-0", 1, 0, "");
        record(Kind.ACKNOWLEDGED, "w-0", 1, 1, "");
        record(Kind.START, "w-1", 1, 2, "");
        assertThat(mHistory.violations()).isEmpty();
    }

    @Test
    void startAfterUnacknowledgedEndIsAllowed() {
        record(Kind.START, "w-0", 1, 1, "");
        record(Kind.END, "w-0", 1, 1, "done");
        record(Kind.START, "w-1", 1, 2, "");
        record(Kind.END, "w-1", 1, 2, "done");
        record(Kind.ACKNOWLEDGED, "w-1", 1, 2, "");
        assertThat(mHistory.violations()).isEmpty();
    }

    @Test
    void jobHasFailedOnlyAfterThatManyRunsOfOneTask() {
        for (int run = 1; run <= 2; run++) {
            record(Kind.START, "w-0", 1, run, "");
            record(Kind.END, "w-0", 1, run, "failed");
        }
        mHistory.record(Kind.START, "w-0", 1, 1, "00000000000000aa.0.0.1", 1, "");
        mHistory.record(Kind.END, "w-0", 1, 1, "00000000000000aa.0.0.1", 1, "failed");
        assertThat(mHistory.hasFailed("00000000000000aa", 3)).isFalse();
        record(Kind.START, "w-1", 1, 3, "");
        record(Kind.END, "w-1", 1, 3, "done");
        assertThat(mHistory.hasFailed("00000000000000aa", 3)).isFalse();
        record(Kind.START, "w-1", 1, 4, "");
        record(Kind.END, "w-1", 1, 4, "failed");
        assertThat(mHistory.hasFailed("00000000000000aa", 3)).isTrue();
    }
}
