package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.StepTraits;

/** Tests the order of writes on an owner where more jobs change than one write can hold. */
class RecordOrderTest {
    private static final int RUNNING_JOBS = 30;
    private static final int JOBS_PER_WRITE = 14;
    private static final Duration WRITE_TIME = Duration.ofMillis(30);

    private final OwnerFixture mOwner = new OwnerFixture();

    @BeforeEach
    void startJobs() {
        mOwner.addVm("vm", 1_000_000);
        IntStream.range(0, RUNNING_JOBS)
                .forEach(i -> mOwner.submit("r" + i, OwnerFixture.step(20, 10, StepTraits.BATCH)));
        mOwner.storeAndSchedule();
        mOwner.mStarts.forEach(mOwner::reportStarted);
    }

    /** Ends one run of each running job. */
    private void endOneRunOfEachJob(int index) {
        List.copyOf(mOwner.mStarts).stream()
                .filter(order -> order.mTask().index() == index)
                .forEach(order -> mOwner.reportEnd(order, EndKind.DONE, ""));
    }

    /** Writes what is due, as much as one write can hold; returns the written jobs. */
    private List<Job> write() {
        List<Job> jobs = mOwner.mOwner.jobsToWrite(JOBS_PER_WRITE);
        jobs.forEach(job -> mOwner.mOwner.markWritten(job, job.version(), 1));
        mOwner.mClock.advance(WRITE_TIME);
        return jobs;
    }

    /**
     * Guards against a new job that waits for the writes of all running jobs: with ends in all of
     * them between any two writes, its turn would never come.
     */
    @Test
    void newJobIsWrittenFirst() {
        mOwner.mClock.advance(Duration.ofSeconds(1));
        endOneRunOfEachJob(0);
        Job job = mOwner.submit("new", OwnerFixture.step(1, 10, StepTraits.BATCH));
        assertThat(write().getFirst()).isEqualTo(job);
    }

    /** Guards against a caller who learns of the end of a job late. */
    @Test
    void finishedJobIsWrittenBeforeProgress() {
        mOwner.mClock.advance(Duration.ofSeconds(1));
        endOneRunOfEachJob(0);
        Job last = mOwner.submit("z", OwnerFixture.step(1, 10, StepTraits.BATCH));
        write();
        mOwner.advanceTime(Duration.ZERO, "vm");
        mOwner.reportEnd(mOwner.lastStart(), EndKind.DONE, "");
        assertThat(last.finished()).isTrue();
        assertThat(write().getFirst()).isEqualTo(last);
    }

    /** Guards against ends that are never acknowledged because other jobs change all the time. */
    @Test
    void allProgressIsWrittenInTurn() {
        mOwner.mClock.advance(Duration.ofSeconds(1));
        for (int round = 0; round < 3; round++) {
            endOneRunOfEachJob(round);
            write();
        }
        assertThat(mOwner.mOwner.dirtyJobs(RUNNING_JOBS).stream().filter(job -> job.version() > 3))
                .isNotEmpty();
        mOwner.mClock.advance(Duration.ofMillis(RecordOrder.PROGRESS_INTERVAL_MILLIS));
        write();
        write();
        write();
        assertThat(mOwner.mOwner.dirtyJobs(RUNNING_JOBS)).isEmpty();
    }

    /** Guards against one write for each end of a step with many tasks. */
    @Test
    void progressOfOneJobIsCollected() {
        mOwner.mClock.advance(Duration.ofSeconds(1));
        endOneRunOfEachJob(0);
        write();
        write();
        write();
        endOneRunOfEachJob(1);
        assertThat(mOwner.mOwner.jobsToWrite(RUNNING_JOBS).size()).isLessThan(RUNNING_JOBS);
        mOwner.mClock.advance(Duration.ofMillis(RecordOrder.PROGRESS_INTERVAL_MILLIS));
        assertThat(mOwner.mOwner.jobsToWrite(RUNNING_JOBS)).hasSize(RUNNING_JOBS);
    }
}
