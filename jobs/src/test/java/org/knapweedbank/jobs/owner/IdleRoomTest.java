package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.jobs.Timetable;
import org.knapweedbank.jobs.admission.IdleRoomFit;
import org.knapweedbank.jobs.admission.WorkKind;
import org.knapweedbank.jobs.reservation.Hold;
import org.knapweedbank.jobs.reservation.Reservation;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.time.ManualClock;

/** Tests which room counts as idle, on a VM of 8 cores. */
class IdleRoomTest {
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);
    private static final long CORE = 1_000;

    private final ManualClock mClock = new ManualClock(Instant.ofEpochSecond(1_000));
    private final OwnerState mState = OwnerFixture.createState(OwnerFixture.SETTINGS, mClock, 1);
    private final RunTracker mRunTracker = new RunTracker(mState);
    private final List<Vm> mUsable = new ArrayList<>();
    private final IdleRoom mIdleRoom = new IdleRoom(mState, () -> List.copyOf(mUsable));
    private final Vm mVm = new Vm(new DaemonId("a"), OwnerFixture.DATA_CENTRE, mClock);
    private int mJobs;

    @BeforeEach
    void addVm() {
        mVm.mWorker = OwnerFixture.worker("a", 1, 8 * CORE, false);
        mState.mVms.put(mVm.mAgent, mVm);
        mUsable.add(mVm);
    }

    private static StepSpec batch(int count, long cores) {
        return OwnerFixture.step(count, cores * CORE, StepTraits.BATCH);
    }

    private static StepSpec filler(int count, long cores) {
        return OwnerFixture.step(count, cores * CORE, FILLER);
    }

    private Job newJob(StepSpec... steps) {
        JobSubmission submission =
                new JobSubmission(new JobId("j" + mJobs++), "", List.of(steps), Timetable.ONCE);
        return new Job(submission, OwnerFixture.queue(2), mClock.wallTime());
    }

    private Job addJob(StepSpec... steps) {
        Job job = newJob(steps);
        mState.addJob(job);
        return job;
    }

    private Run run(StepSpec step) {
        Task task = addJob(step).tasks().findFirst().orElseThrow();
        mRunTracker.start(task, mVm);
        return task.mRun;
    }

    private boolean fits(StepSpec... steps) {
        WorkKind kind = steps[0].traits().filler() ? WorkKind.FILLER : WorkKind.RESERVED;
        return mIdleRoom.fit(newJob(steps), kind) != IdleRoomFit.NONE;
    }

    /** Guards against admission on room about which no round of placement has decided. */
    @Test
    void roomCountsOnlyAfterARound() {
        assertThat(fits(batch(1, 1))).isFalse();
        mIdleRoom.handleRound();
        assertThat(fits(batch(1, 1))).isTrue();
        mIdleRoom.clear();
        assertThat(fits(batch(1, 1))).isFalse();
    }

    /** Guards against admission on room that a run left after the last round. */
    @Test
    void roomThatBecameFreeSinceTheRoundDoesNotCount() {
        Run run = run(batch(1, 6));
        mIdleRoom.handleRound();
        mRunTracker.release(run);
        run.mTask.markDone();
        assertThat(fits(batch(1, 2))).isTrue();
        assertThat(fits(batch(1, 3))).isFalse();
        mIdleRoom.handleRound();
        assertThat(fits(batch(1, 3))).isTrue();
    }

    /** Guards against admission on room that was used or lost since the last round. */
    @Test
    void roomThatIsNoLongerFreeDoesNotCount() {
        mIdleRoom.handleRound();
        run(batch(1, 6));
        assertThat(fits(batch(1, 2))).isTrue();
        assertThat(fits(batch(1, 3))).isFalse();
        mUsable.clear();
        assertThat(fits(batch(1, 2))).isFalse();
    }

    /**
     * Guards against admission on room for tasks that wait for their record or after a failed run.
     */
    @Test
    void waitingTasksTakeTheirRoom() {
        Job job = addJob(batch(2, 3));
        job.tasks().forEach(task -> task.mEarliestStartAt = Long.MAX_VALUE);
        mIdleRoom.handleRound();
        assertThat(fits(batch(1, 2))).isTrue();
        assertThat(fits(batch(1, 3))).isFalse();
    }

    /** Guards against the refusal of jobs for room that waiting tasks are too large to use. */
    @Test
    void tasksThatAreTooLargeForAVmTakeNoRoom() {
        run(batch(1, 4));
        addJob(batch(10, 9));
        mIdleRoom.handleRound();
        assertThat(fits(batch(1, 4))).isTrue();
        assertThat(fits(batch(1, 5))).isFalse();
    }

    /**
     * Guards against fewer refusals under overload, by jobs for parts of VMs that are too small for
     * the waiting tasks until a neighbour ends.
     */
    @Test
    void partOfAVmForWhichTasksWaitDoesNotCount() {
        run(batch(1, 4));
        addJob(batch(1, 5));
        mIdleRoom.handleRound();
        assertThat(fits(batch(1, 1))).isFalse();
        assertThat(fits(filler(1, 4))).isTrue();
    }

    /** Guards against a job that is admitted where its predecessor waits for more room. */
    @Test
    void admittedJobWithoutRoomForAllTasksWaitsForTheRest() {
        mIdleRoom.handleRound();
        assertThat(fits(batch(4, 3))).isTrue();
        mIdleRoom.handleAdmitted(addJob(batch(4, 3)));
        assertThat(fits(batch(1, 1))).isFalse();
    }

    /** Guards against several jobs that are admitted on the same room. */
    @Test
    void admittedJobsTakeTheirRoom() {
        mIdleRoom.handleRound();
        assertThat(fits(batch(4, 1))).isTrue();
        mIdleRoom.handleAdmitted(addJob(batch(4, 1)));
        assertThat(fits(batch(4, 1))).isTrue();
        mIdleRoom.handleAdmitted(addJob(batch(4, 1)));
        assertThat(fits(batch(4, 1))).isFalse();
    }

    /** Guards against a failure, or admission on room of a VM that has lost its worker. */
    @Test
    void lostVmEndsWhatWasFoundBefore() {
        Vm other = new Vm(new DaemonId("b"), OwnerFixture.DATA_CENTRE, mClock);
        other.mWorker = OwnerFixture.worker("b", 1, 2 * CORE, false);
        mUsable.add(other);
        mIdleRoom.handleRound();
        assertThat(fits(batch(1, 8))).isTrue();
        mVm.mWorker = null;
        mUsable.remove(mVm);
        mIdleRoom.handleAdmitted(addJob(batch(1, 2)));
        assertThat(fits(batch(1, 1))).isFalse();
    }

    private boolean fillerFitsBesideHeldRoom(long memoryBesideMb) {
        Task task = addJob(batch(1, 5)).tasks().findFirst().orElseThrow();
        long now = mState.now();
        Reservation reservation = new Reservation(task.mName, mVm.mAgent, now, now, now + 500);
        Hold hold = new Hold(reservation, new Resources(3 * CORE, memoryBesideMb, 0), now);
        mVm.mHolds = List.of(new VmHold(mState, new RunEndEstimator(mState), task, mVm, hold));
        mIdleRoom.handleRound();
        return fits(filler(1, 1));
    }

    /**
     * Guards against admission on room that is held for a waiting task, even of a job that is more
     * urgent than it.
     */
    @Test
    void heldRoomDoesNotCount() {
        run(batch(1, 4));
        assertThat(fillerFitsBesideHeldRoom(99)).isFalse();
        assertThat(fillerFitsBesideHeldRoom(100)).isTrue();
        assertThat(fits(batch(1, 1))).isFalse();
        mIdleRoom.handleAdmitted(addJob(filler(1, 1)));
        assertThat(fits(filler(1, 1))).isFalse();
    }

    /** Guards against a job that is admitted for its first step and waits with its second one. */
    @Test
    void eachStepHasToFit() {
        mIdleRoom.handleRound();
        StepSpec fitting = OwnerFixture.step(1, 8 * CORE, StepTraits.BATCH, 0);
        StepSpec large = OwnerFixture.step(1, 9 * CORE, StepTraits.BATCH, 0);
        assertThat(fits(batch(1, 1), fitting)).isTrue();
        assertThat(fits(batch(1, 1), large)).isFalse();
    }

    /** Guards against a job that counts as one that needs no queue although some tasks wait. */
    @Test
    void allTasksOfEachStepFitOrOnlySome() {
        mIdleRoom.handleRound();
        Job all = newJob(batch(8, 1), OwnerFixture.step(2, 4 * CORE, StepTraits.BATCH, 0));
        assertThat(mIdleRoom.fit(all, WorkKind.RESERVED)).isEqualTo(IdleRoomFit.ALL_TASKS);
        Job some = newJob(batch(8, 1), OwnerFixture.step(3, 4 * CORE, StepTraits.BATCH, 0));
        assertThat(mIdleRoom.fit(some, WorkKind.RESERVED)).isEqualTo(IdleRoomFit.SOME_TASKS);
    }

    /** Guards against fillers that are judged by reserved processor time instead of used time. */
    @Test
    void fillersNeedProcessorTimeThatNoFillerRequests() {
        run(filler(1, 4));
        addJob(filler(3, 1));
        mIdleRoom.handleRound();
        assertThat(fits(filler(1, 1))).isTrue();
        assertThat(fits(filler(1, 2))).isFalse();
        assertThat(fits(batch(1, 8))).isTrue();
    }

    /** Guards against admission of fillers on room to which a starved filler moves. */
    @Test
    void starvedFillerTakesRoomOnAnotherVm() {
        Run starved = run(filler(1, 8));
        Vm other = new Vm(new DaemonId("b"), OwnerFixture.DATA_CENTRE, mClock);
        other.mWorker = OwnerFixture.worker("b", 1, 8 * CORE, false);
        mUsable.add(other);
        mIdleRoom.handleRound();
        assertThat(fits(filler(1, 1))).isTrue();
        starved.mStarvedReports = 1;
        mVm.updateStarvedFillers();
        mIdleRoom.handleRound();
        assertThat(fits(filler(1, 1))).isFalse();
    }

    /** Guards against admission on room to which a filler is being moved. */
    @Test
    void claimedRoomDoesNotCount() {
        Task moving = newJob(filler(1, 6)).tasks().findFirst().orElseThrow();
        mVm.claimRoom(moving, mState.now() + 1_000);
        mIdleRoom.handleRound();
        assertThat(fits(filler(1, 2))).isTrue();
        assertThat(fits(filler(1, 3))).isFalse();
    }
}
