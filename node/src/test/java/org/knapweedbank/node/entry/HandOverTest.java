package org.knapweedbank.node.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.Timetable;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.node.CallRequest;
import org.knapweedbank.node.ManualTimers;
import org.knapweedbank.time.ManualClock;

/** Tests that each task runs once while orders of a former owner are under way. */
class HandOverTest {
    private static final int TASKS = 6;

    /** Time within which the starts of a submitted job arrive. */
    private static final int MAX_DELAY_OF_LINK_END_MILLIS = 150;

    private final ManualClock mClock = new ManualClock();
    private final ManualTimers mTimers = new ManualTimers(mClock);
    private final FakeStore mStore = new FakeStore(mTimers);
    private final OwnershipFixture mOwners = new OwnershipFixture(mClock, mTimers, mStore);
    private final RunHistory mHistory = new RunHistory();
    private final List<VmFixture> mVms = List.of(newVm("vm-0"), newVm("vm-1"));
    private OwnershipTerm mOwnership;

    /** Number of answered submissions. */
    private int mAnswers;

    /** Latest term in the store, whose owner alone is confirmed. */
    private long mTerm;

    private VmFixture newVm(String name) {
        return new VmFixture(name, mTimers, mClock, mHistory, () -> mOwnership);
    }

    @BeforeEach
    void startVms() {
        mTimers.advance(Duration.ofSeconds(10));
        startNextOwner();
        mVms.forEach(VmFixture::startAgent);
        mVms.get(0).startWorker("w-0", Duration.ZERO);
        mVms.get(1).startWorker("w-1", Duration.ZERO);
        mTimers.advance(Duration.ofSeconds(2));
    }

    /** Starts the owner of the next term; the former one runs on without confirmations. */
    private void startNextOwner() {
        mTerm++;
        mOwnership = mOwners.createOwner(mTerm);
        long term = mTerm;
        mOwnership.load(owner -> mOwners.confirmPeriodically(owner, () -> term == mTerm));
        mTimers.advance(Duration.ofMillis(100));
    }

    private void submit(OwnershipTerm owner, String id) {
        StepSpec step =
                new StepSpec(
                        TASKS,
                        new Resources(480, 960, 0),
                        OwnershipFixture.OBJECTIVE,
                        List.of(),
                        StepTraits.BATCH,
                        PlacementRule.ANYWHERE,
                        "",
                        Duration.ZERO,
                        -1);
        JobSubmission job = new JobSubmission(new JobId(id), "", List.of(step), Timetable.ONCE);
        owner.call(new CallRequest.Submit(OwnershipFixture.QUEUE, job), answer -> mAnswers++);
    }

    private static List<TaskName> tasks(String job) {
        return IntStream.range(0, TASKS).mapToObj(i -> TaskName.parse(job + ".0.0." + i)).toList();
    }

    private void moveToNextOwner() {
        mVms.forEach(VmFixture::disconnect);
        startNextOwner();
        mVms.forEach(VmFixture::reconnect);
    }

    private int delayedStarts() {
        return mVms.stream().mapToInt(vm -> vm.mWorker.mDelayedStarts).sum();
    }

    private void advanceUntil(BooleanSupplier condition) {
        for (int i = 0; i < MAX_DELAY_OF_LINK_END_MILLIS && !condition.getAsBoolean(); i++) {
            mTimers.advance(Duration.ofMillis(1));
        }
        assertWithMessage("delayed starts %s, running %s", delayedStarts(), mHistory.running())
                .that(condition.getAsBoolean())
                .isTrue();
    }

    private void assertEachTaskRanOnce(String... jobs) {
        assertThat(mHistory.mRepeated).isEmpty();
        assertThat(mHistory.mDone)
                .containsExactlyElementsIn(
                        List.of(jobs).stream().flatMap(job -> tasks(job).stream()).toList());
    }

    /**
     * Guards against a new owner that starts the tasks again whose starts by the former owner were
     * carried out just before the agents connected to it.
     */
    @Test
    void startsJustBeforeTheNewLinkAreKept() {
        mVms.forEach(vm -> vm.mWorker.mAnswersLost = true);
        submit(mOwnership, "a");
        advanceUntil(() -> mHistory.running().size() == TASKS);
        moveToNextOwner();
        mTimers.advance(Duration.ofMillis(500));
        mVms.forEach(vm -> vm.mWorker.mAnswersLost = false);
        mTimers.advance(Duration.ofSeconds(30));
        assertEachTaskRanOnce("a");
    }

    /**
     * Guards against starts of a former owner that take effect after the agents have left it, and
     * against tasks that nobody starts because their starts are lost. The links end at each
     * millisecond around the time at which the starts are under way.
     */
    @ParameterizedTest
    @MethodSource("delaysOfLinkEnd")
    void startsUnderWayWhenTheLinkEndsTakeEffectOnce(int delayMillis) {
        submit(mOwnership, "a");
        advanceUntil(() -> mAnswers == 1);
        mTimers.advance(Duration.ofMillis(delayMillis));
        moveToNextOwner();
        mTimers.advance(Duration.ofSeconds(30));
        assertEachTaskRanOnce("a");
    }

    /**
     * Returns the times from the answer to a submission to the end of the links, in milliseconds.
     */
    static IntStream delaysOfLinkEnd() {
        return IntStream.rangeClosed(0, MAX_DELAY_OF_LINK_END_MILLIS);
    }

    /**
     * Guards against a second run of tasks whose starts, passed on under the former owner, reach
     * the worker only after the new owner's first renewal.
     */
    @Test
    void startsThatReachTheWorkerAfterTheNewOwnersRenewalRunOnce() {
        mVms.forEach(vm -> vm.mWorker.mStartArrivalDelay = Duration.ofMillis(1_000));
        submit(mOwnership, "a");
        advanceUntil(() -> delayedStarts() >= TASKS);
        mVms.forEach(vm -> vm.mWorker.mStartArrivalDelay = Duration.ZERO);
        moveToNextOwner();
        mTimers.advance(Duration.ofMillis(500));
        mTimers.advance(Duration.ofSeconds(30));
        assertEachTaskRanOnce("a");
    }

    /**
     * Guards against the same if the agent that passed the starts on has ended, so that nobody
     * lists them to the new owner.
     */
    @Test
    void startsThatReachTheWorkerAfterTheNewOwnersRenewalRunOnceAfterAgentRestart() {
        mVms.forEach(vm -> vm.mWorker.mStartArrivalDelay = Duration.ofMillis(1_000));
        submit(mOwnership, "a");
        advanceUntil(() -> delayedStarts() >= TASKS);
        mVms.forEach(vm -> vm.mWorker.mStartArrivalDelay = Duration.ZERO);
        mVms.forEach(VmFixture::killAgent);
        startNextOwner();
        mVms.forEach(VmFixture::startAgent);
        mTimers.advance(Duration.ofMillis(500));
        mTimers.advance(Duration.ofSeconds(30));
        assertEachTaskRanOnce("a");
    }

    /**
     * Guards against an owner that sends orders after another one has replaced it, while the agent
     * of one VM is still linked to it.
     */
    @Test
    void formerOwnerWithLinkedAgentStartsNothing() {
        OwnershipTerm former = mOwnership;
        submit(former, "a");
        mTimers.advance(Duration.ofSeconds(1));
        assertThat(mHistory.running()).containsExactlyElementsIn(tasks("a"));
        mVms.get(1).disconnect();
        startNextOwner();
        mVms.get(1).reconnect();
        submit(former, "b");
        submit(mOwnership, "c");
        mTimers.advance(Duration.ofSeconds(8));
        mVms.get(0).disconnect();
        mVms.get(0).reconnect();
        mTimers.advance(Duration.ofSeconds(40));
        assertEachTaskRanOnce("a", "c");
    }
}
