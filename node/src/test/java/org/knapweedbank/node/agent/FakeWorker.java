package org.knapweedbank.node.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.knapweedbank.jobs.EndedTask;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.time.Clock;

/** Worker whose replies a test chooses; its clock runs with that of the test. */
final class FakeWorker implements WorkerPort {
    final List<HoldRequest> mHolds = new ArrayList<>();
    final List<StartOrder> mStarts = new ArrayList<>();
    final List<Long> mDeadlines = new ArrayList<>();
    final List<TaskName> mStops = new ArrayList<>();
    final List<Integer> mPaces = new ArrayList<>();
    final List<RunningTask> mRunning = new ArrayList<>();
    final List<EndedTask> mEnded = new ArrayList<>();
    private final Clock mClock;
    StartReply mStartReply = new StartReply.Started(0);
    boolean mSilent;
    long mIncarnation = 1;
    Consumer<HoldReply> mWaiting;

    FakeWorker(Clock clock) {
        mClock = clock;
    }

    @Override
    public void start(
            WorkerId worker,
            StartOrder order,
            long deadline,
            long term,
            Consumer<StartReply> done) {
        mStarts.add(order);
        mDeadlines.add(deadline);
        if (mStartReply instanceof StartReply.Started) {
            mRunning.add(new RunningTask(order.task(), order.run(), "", 0, 0));
        }
        done.accept(mStartReply);
    }

    @Override
    public void stop(WorkerId worker, TaskName task, long run, long term, Consumer<Boolean> done) {
        mStops.add(task);
        done.accept(true);
    }

    @Override
    public void hold(HoldRequest request, Consumer<HoldReply> done) {
        mHolds.add(request);
        mEnded.removeIf(end -> end.number() <= request.acknowledged());
        if (request.patience().isZero()) {
            reply(done);
        } else {
            mWaiting = done;
        }
    }

    /** Ends the wait of the last request. */
    void answer() {
        Consumer<HoldReply> waiting = mWaiting;
        mWaiting = null;
        if (waiting != null) {
            reply(waiting);
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

    private void reply(Consumer<HoldReply> done) {
        done.accept(
                mSilent
                        ? new HoldReply.NoAnswer("silent")
                        : new HoldReply.Held(
                                mClock.monotonicMillis(),
                                mIncarnation,
                                List.copyOf(mRunning),
                                List.copyOf(mEnded)));
    }
}
