package org.knapweedbank.node.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.time.Clock;

/** Worker with replies set by the test and the clock of the test. */
final class FakeWorker implements WorkerClient {
    final List<LeaseRenewalRequest> mRenewals = new ArrayList<>();
    final List<StartOrder> mStarts = new ArrayList<>();
    final List<Long> mStartDeadlines = new ArrayList<>();
    final List<TaskName> mStops = new ArrayList<>();
    final List<Integer> mPaces = new ArrayList<>();
    final List<RunStatus> mRunning = new ArrayList<>();
    final List<EndedRun> mEnded = new ArrayList<>();
    private final Clock mClock;
    StartReply mStartReply = new StartReply.Started(OptionalLong.empty(), OptionalLong.empty());
    boolean mSilent;
    boolean mListsComplete = true;
    long mIncarnation = 1;
    Consumer<LeaseRenewalReply> mWaitingReply;
    Consumer<LeaseRenewalReply> mLatestRequest;

    FakeWorker(Clock clock) {
        mClock = clock;
    }

    @Override
    public void start(
            WorkerId worker,
            StartOrder order,
            long deadlineMillis,
            long term,
            Consumer<StartReply> done) {
        mStarts.add(order);
        mStartDeadlines.add(deadlineMillis);
        if (mStartReply instanceof StartReply.Started) {
            mRunning.add(new RunStatus(order.task(), order.run(), "", 0, 0));
        }
        done.accept(mStartReply);
    }

    @Override
    public void stop(WorkerId worker, TaskName task, long run, long term, Consumer<Boolean> done) {
        mStops.add(task);
        done.accept(true);
    }

    @Override
    public void renewLease(LeaseRenewalRequest request, Consumer<LeaseRenewalReply> done) {
        mRenewals.add(request);
        mLatestRequest = done;
        mEnded.removeIf(end -> end.number() <= request.acknowledgedEnd());
        if (request.maxWait().isZero()) {
            reply(done);
        } else {
            mWaitingReply = done;
        }
    }

    /** Answers the last lease renewal that waits for an end. */
    void answerWaitingRenewal() {
        Consumer<LeaseRenewalReply> waitingReply = mWaitingReply;
        mWaitingReply = null;
        if (waitingReply != null) {
            reply(waitingReply);
        }
    }

    @Override
    public void pace(
            WorkerId worker,
            TaskName task,
            long run,
            int percent,
            long term,
            Consumer<Boolean> done) {
        mPaces.add(percent);
        done.accept(true);
    }

    void reply(Consumer<LeaseRenewalReply> done) {
        done.accept(
                mSilent
                        ? new LeaseRenewalReply.NoAnswer("silent")
                        : new LeaseRenewalReply.Renewed(
                                mClock.monotonicMillis(),
                                mIncarnation,
                                List.copyOf(mRunning),
                                List.copyOf(mEnded),
                                mListsComplete,
                                true));
    }
}
