package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Function;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.agent.LeaseRenewalReply;
import org.knapweedbank.node.agent.LeaseRenewalRequest;
import org.knapweedbank.node.agent.StartReply;
import org.knapweedbank.node.agent.WorkerClient;

/**
 * Calls of one agent process to its worker. Requests and answers overtake each other, answers get
 * lost, and requests are carried out after the caller has given them up or was killed.
 */
final class UnreliableClient implements WorkerClient {
    private static final Duration TIMEOUT = Duration.ofMillis(1_000);
    private static final Duration CONNECTION_DELAY = Duration.ofMillis(1);

    private final Timers mNetwork;
    private final Timers mProcess;
    private final ModelWorker mWorker;
    private final CallConditions mConditions;
    private final EventTrace mTrace;

    /**
     * Whether a call that was sent to an incarnation may be carried out by the next one under the
     * same identifier. The connection of the call ends with the process that accepted it.
     */
    private final boolean mLateCallsReachNextIncarnation;

    UnreliableClient(
            Timers network,
            Timers process,
            ModelWorker worker,
            CallConditions conditions,
            EventTrace trace,
            boolean lateCallsReachNextIncarnation) {
        mNetwork = network;
        mProcess = process;
        mWorker = worker;
        mConditions = conditions;
        mTrace = trace;
        mLateCallsReachNextIncarnation = lateCallsReachNextIncarnation;
    }

    /** Call that is under way. */
    private final class Pending<R> {
        private final String mName;
        private final WorkerId mSentTo = mWorker.id();
        private final CallConditions.Fate mFate;
        private final Function<String, R> mNoAnswer;
        private final Consumer<R> mDone;
        private boolean mAnswered;

        Pending(
                CallConditions.Call call,
                String name,
                Function<String, R> noAnswer,
                Consumer<R> done) {
            mName = name;
            mFate = mConditions.draw(call);
            mNoAnswer = noAnswer;
            mDone = done;
        }

        void send(Duration timeout, Consumer<Consumer<R>> execute) {
            mTrace.add(mSentTo.id(), "call", mName, mFate);
            answerAfter(timeout, mNoAnswer.apply("timeout"));
            mNetwork.after(Duration.ofMillis(mFate.requestMillis()), () -> arrive(execute));
        }

        private void arrive(Consumer<Consumer<R>> execute) {
            boolean reachable = mLateCallsReachNextIncarnation || mSentTo.equals(mWorker.id());
            if (mWorker.up() && reachable) {
                execute.accept(this::answer);
            } else {
                answerAfter(CONNECTION_DELAY, mNoAnswer.apply("closed"));
            }
        }

        private void answer(R reply) {
            if (!mFate.answerLost()) {
                answerAfter(Duration.ofMillis(mFate.answerMillis()), reply);
            }
        }

        void answerAfter(Duration delay, R reply) {
            mProcess.after(
                    delay,
                    () -> {
                        if (!mAnswered) {
                            mAnswered = true;
                            mTrace.add(mSentTo.id(), "answer", mName, reply);
                            mDone.accept(reply);
                        }
                    });
        }
    }

    @Override
    public void start(
            WorkerId worker,
            StartOrder order,
            long deadlineMillis,
            long term,
            Consumer<StartReply> done) {
        String name = "start " + order.task() + " " + order.run() + " term " + term;
        Pending<StartReply> call =
                new Pending<>(CallConditions.Call.START, name, StartReply.NoAnswer::new, done);
        if (!mWorker.up()) {
            call.answerAfter(CONNECTION_DELAY, new StartReply.Refused(StartReply.Cause.UNHEALTHY));
            return;
        }
        call.send(
                TIMEOUT,
                reply ->
                        reply.accept(
                                mWorker.startRun(
                                        worker, order.task(), order.run(), deadlineMillis, term)));
    }

    @Override
    public void stop(WorkerId worker, TaskName task, long run, long term, Consumer<Boolean> done) {
        Pending<Boolean> call =
                new Pending<>(
                        CallConditions.Call.STOP,
                        "stop " + task + " " + run,
                        reason -> false,
                        done);
        if (!mWorker.up()) {
            call.answerAfter(CONNECTION_DELAY, false);
            return;
        }
        call.send(TIMEOUT, reply -> reply.accept(mWorker.stopRun(worker, task, run, term)));
    }

    @Override
    public void renewLease(LeaseRenewalRequest request, Consumer<LeaseRenewalReply> done) {
        Pending<LeaseRenewalReply> call =
                new Pending<>(
                        CallConditions.Call.RENEWAL,
                        "renewal " + request.acknowledgedEnd() + " " + request.maxWait(),
                        LeaseRenewalReply.NoAnswer::new,
                        done);
        if (!mWorker.up()) {
            call.answerAfter(CONNECTION_DELAY, new LeaseRenewalReply.NotListening("refused"));
            return;
        }
        call.send(TIMEOUT.plus(request.maxWait()), reply -> mWorker.renewLease(request, reply));
    }

    @Override
    public void pace(
            WorkerId worker,
            TaskName task,
            long run,
            int percent,
            long term,
            Consumer<Boolean> done) {
        mProcess.after(CONNECTION_DELAY, () -> done.accept(mWorker.up()));
    }
}
