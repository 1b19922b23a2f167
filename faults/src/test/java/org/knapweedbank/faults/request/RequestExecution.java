package org.knapweedbank.faults.request;

/** One execution of a submission by an upstream, as the upstream saw it. */
final class RequestExecution {
    /** Submission in its text form. */
    final String mSubmission;

    /** Name of the agent whose upstream runs the submission. */
    final String mUpstream;

    /** Whether the upstream has finished the execution or its connection has failed. */
    boolean mCompleted;

    /** Whether the agent has cancelled the execution. */
    boolean mCancelled;

    RequestExecution(String submission, String upstream) {
        mSubmission = submission;
        mUpstream = upstream;
    }
}
