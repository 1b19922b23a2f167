package org.knapweedbank.faults.request;

/** One run of a submission at an upstream, as the upstream saw it. */
final class RequestExecution {
    final String mSubmission;
    final String mUpstream;
    boolean mCompleted;
    boolean mCancelled;

    RequestExecution(String submission, String upstream) {
        mSubmission = submission;
        mUpstream = upstream;
    }
}
