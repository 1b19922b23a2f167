package org.knapweedbank.soak;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.soak.RunEvent.Kind;
import org.knapweedbank.time.ManualClock;

/** Guards against a soak that passes although a long-running task waits in the calm time. */
final class WaitCheckTest {
    private static final long FAULTS_END = 10_000;
    private static final long END = 23_000;
    private static final Job JOB =
            new Job("00000000000000aa", Job.Kind.LONG_RUNNING, 1, Job.Outcome.ACCEPTED, /* at */ 0);

    private final ManualClock mClock = new ManualClock();
    private final RunHistory mHistory = new RunHistory(mClock);
    private long mRun;

    private void start(long atMillis) {
        mRun++;
        record(Kind.START, atMillis, "");
    }

    private void end(long atMillis) {
        record(Kind.END, atMillis, "failed");
    }

    private void record(Kind kind, long atMillis, String detail) {
        mClock.advance(Duration.ofMillis(atMillis - mHistory.nowMillis()));
        mHistory.record(kind, "w-0", 1, 1, JOB.task(0), mRun, detail);
    }

    private List<Violation> check(Job job) {
        return new WaitCheck(mHistory, FAULTS_END, END).check(List.of(job));
    }

    @Test
    void waitIntoCalmTimeIsFound() {
        start(1_000);
        end(9_900);
        start(17_500);
        List<Violation> violations = check(JOB);
        assertThat(violations).hasSize(1);
        assertThat(violations.get(0).promise()).isEqualTo(Violation.Promise.WAITS);
        assertThat(violations.get(0).subject()).isEqualTo(JOB.id());
        assertThat(violations.get(0).detail()).contains("without a run from 9.900 to 17.500");
    }

    @Test
    void waitWithinCalmTimeIsFound() {
        start(1_000);
        end(16_990);
        start(22_990);
        assertThat(check(JOB)).hasSize(1);
    }

    @Test
    void taskWithoutRunAtEndIsFound() {
        start(1_000);
        end(22_000);
        assertThat(check(JOB)).hasSize(1);
    }

    @Test
    void taskThatNeverRanIsFound() {
        assertThat(check(JOB)).hasSize(1);
    }

    @Test
    void waitOfOtherTaskOfJobIsFound() {
        start(1_000);
        Job two = new Job(JOB.id(), JOB.kind(), 2, JOB.outcome(), JOB.atMillis());
        assertThat(check(two)).hasSize(1);
    }

    @Test
    void waitThatEndsBeforeCalmTimeIsAllowed() {
        start(1_000);
        end(2_000);
        start(17_000);
        assertThat(check(JOB)).isEmpty();
    }

    @Test
    void shortWaitsInCalmTimeAreAllowed() {
        start(1_000);
        end(12_000);
        start(17_999);
        end(18_000);
        start(20_000);
        assertThat(check(JOB)).isEmpty();
    }

    @Test
    void jobThatWasNotAcceptedMayWait() {
        assertThat(check(new Job(JOB.id(), JOB.kind(), 1, Job.Outcome.UNKNOWN, 0))).isEmpty();
    }
}
