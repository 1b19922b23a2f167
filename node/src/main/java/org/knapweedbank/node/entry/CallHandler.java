package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.knapweedbank.jobs.owner.Job;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.jobs.owner.SubmitResult;
import org.knapweedbank.model.JobId;
import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.CallRequest;
import org.knapweedbank.time.Clock;

/** Answers the calls to the owner, those that change a job once its record is stored. */
final class CallHandler {
    /**
     * Time that a new job waits for a store that accepts no writes before it is refused. A slow but
     * working store answers within this time.
     */
    private static final long MAX_STORE_WAIT_MILLIS = 700;

    private static final String UNCONFIRMED = "the ownership is not confirmed";

    /** Delay that a caller is told to wait while the ownership is not confirmed. */
    private static final Duration OWNER_RETRY_AFTER = Duration.ofSeconds(1);

    /**
     * Answer to calls for a job whose record can't be read. The record is kept, so the job may have
     * run and is neither refused nor unknown.
     */
    private static final CallAnswer UNREADABLE_JOB =
            new CallAnswer.OutcomeUnknown("the record of the job can't be read");

    /** Delay that a caller is told to wait when the store is unavailable. */
    private static final Duration STORE_RETRY_AFTER = Duration.ofSeconds(1);

    private final Clock mClock;
    private final JobOwner mOwner;
    private final RecordWriter mWriter;
    private final TermCheck mTermCheck;
    private final Predicate<JobId> mIsUnreadable;
    private final List<WaitingCall> mWaitingCalls = new ArrayList<>();
    private boolean mStopped;

    /**
     * Creates the handler.
     *
     * @param termCheck reads whether a later term has begun
     * @param isUnreadable returns whether the record of a job could not be read
     */
    CallHandler(
            Clock clock,
            JobOwner owner,
            RecordWriter writer,
            TermCheck termCheck,
            Predicate<JobId> isUnreadable) {
        mClock = clock;
        mOwner = owner;
        mWriter = writer;
        mTermCheck = termCheck;
        mIsUnreadable = isUnreadable;
    }

    /**
     * Handles a call. The answer is null if the ownership ended before the outcome was known; the
     * call may then be repeated at the next owner.
     */
    void call(CallRequest request, Consumer<CallAnswer> done) {
        switch (request) {
            case CallRequest.Submit submit when mIsUnreadable.test(submit.submission().id()) ->
                    done.accept(UNREADABLE_JOB);
            case CallRequest.Cancel cancel when mIsUnreadable.test(cancel.job()) ->
                    done.accept(UNREADABLE_JOB);
            case CallRequest.Read read when mIsUnreadable.test(read.job()) ->
                    done.accept(UNREADABLE_JOB);
            case CallRequest.Submit submit -> submit(submit, done);
            case CallRequest.Cancel cancel -> cancel(cancel, done);
            case CallRequest.Read read -> read(read.job(), done);
            case CallRequest.Count count ->
                    done.accept(new CallAnswer.Pending(mOwner.countPendingJobs(count.queue())));
        }
    }

    private void read(JobId id, Consumer<CallAnswer> done) {
        Optional<Job> job = mOwner.find(id);
        if (job.isPresent()) {
            done.accept(new CallAnswer.State(job.get().state()));
        } else {
            answerAbsentJob(done);
        }
    }

    /**
     * Answers a call for a job that is missing here. A later owner may have accepted it, so the
     * store has to show first that there is none.
     */
    private void answerAbsentJob(Consumer<CallAnswer> done) {
        mTermCheck.request(
                result ->
                        done.accept(
                                switch (result) {
                                    case NEWEST -> new CallAnswer.NoSuchJob();
                                    case SUPERSEDED -> null;
                                    case UNKNOWN ->
                                            new CallAnswer.Refused(
                                                    UNCONFIRMED, false, OWNER_RETRY_AFTER);
                                }));
    }

    private void submit(CallRequest.Submit submit, Consumer<CallAnswer> done) {
        boolean known = mOwner.knows(submit.submission().id());
        if (!known && mWriter.failingTime().toMillis() > MAX_STORE_WAIT_MILLIS) {
            done.accept(storeUnavailableAnswer());
            return;
        }
        switch (mOwner.submit(submit.submission(), submit.queue())) {
            case SubmitResult.Known result -> answerWhenStored(result.job(), 1, done);
            case SubmitResult.Refused refused ->
                    done.accept(
                            new CallAnswer.Refused(refused.reason(), true, refused.retryAfter()));
            case SubmitResult.Overloaded overloaded -> refuseAfterCheck(submit, overloaded, done);
        }
    }

    /**
     * Refuses a job once the store has shown that no later owner can have accepted it from an
     * earlier try of the same submission.
     */
    private void refuseAfterCheck(
            CallRequest.Submit submit,
            SubmitResult.Overloaded overloaded,
            Consumer<CallAnswer> done) {
        mTermCheck.request(result -> answerAfterCheck(submit, overloaded, result, done));
    }

    /**
     * Answers a submission that was not admitted before the check. Once the ownership has ended,
     * the call may already be at the next owner. A copy of the submission may have been admitted
     * during the check.
     */
    private void answerAfterCheck(
            CallRequest.Submit submit,
            SubmitResult.Overloaded overloaded,
            TermCheck.Result result,
            Consumer<CallAnswer> done) {
        if (mStopped || result == TermCheck.Result.SUPERSEDED) {
            done.accept(null);
        } else if (mOwner.knows(submit.submission().id())) {
            submit(submit, done);
        } else if (result == TermCheck.Result.UNKNOWN) {
            done.accept(new CallAnswer.OutcomeUnknown(UNCONFIRMED));
        } else {
            done.accept(new CallAnswer.Refused(overloaded.reason(), true, overloaded.retryAfter()));
        }
    }

    private void cancel(CallRequest.Cancel cancel, Consumer<CallAnswer> done) {
        Optional<Job> job = mOwner.find(cancel.job()).flatMap(found -> mOwner.cancel(found.id()));
        if (job.isEmpty()) {
            answerAbsentJob(done);
        } else {
            answerWhenStored(job.get(), job.get().version(), done);
        }
    }

    /** Accepts a call once the given version of its job is stored. */
    private void answerWhenStored(Job job, long version, Consumer<CallAnswer> done) {
        if (job.storedVersion() >= version) {
            done.accept(new CallAnswer.Accepted());
            return;
        }
        mWaitingCalls.add(new WaitingCall(job, version, mClock.monotonicMillis(), done));
        mWriter.writeChanges();
    }

    /** Ends the waiting calls without an answer, as the ownership has ended. */
    void stop() {
        mStopped = true;
        List.copyOf(mWaitingCalls).forEach(call -> call.complete(null));
        mWaitingCalls.clear();
    }

    /** Accepts the calls whose jobs have been stored. */
    void acceptStored() {
        List<WaitingCall> stored =
                mWaitingCalls.stream()
                        .filter(call -> call.mJob.storedVersion() >= call.mVersion)
                        .toList();
        mWaitingCalls.removeAll(stored);
        stored.forEach(call -> call.complete(new CallAnswer.Accepted()));
    }

    /** Refuses the calls that wait too long for a store that accepts no writes. */
    void refuseOverdue() {
        mWaitingCalls.stream()
                .filter(this::isRefusable)
                .map(WaitingCall::mJob)
                .distinct()
                .toList()
                .forEach(this::refuseJob);
    }

    /** Returns whether a call waits too long for a new job that no write can have stored. */
    private boolean isRefusable(WaitingCall call) {
        return call.mJob.storedVersion() == 0
                && !mWriter.isUncertain(call.mJob)
                && mClock.monotonicMillis() - call.mWaitingSinceMillis > MAX_STORE_WAIT_MILLIS;
    }

    /** Removes a job that no write can have stored and refuses all calls that wait for it. */
    private void refuseJob(Job job) {
        List<WaitingCall> refused =
                mWaitingCalls.stream().filter(call -> call.mJob == job).toList();
        mWaitingCalls.removeAll(refused);
        mOwner.removeJob(job);
        refused.forEach(call -> call.complete(storeUnavailableAnswer()));
    }

    private static CallAnswer storeUnavailableAnswer() {
        return new CallAnswer.Refused("the store is away", false, STORE_RETRY_AFTER);
    }

    /** Call that is answered when the given version of a job is stored. */
    private record WaitingCall(
            Job mJob, long mVersion, long mWaitingSinceMillis, Consumer<CallAnswer> mDone) {
        void complete(CallAnswer answer) {
            mDone.accept(answer);
        }
    }
}
