package org.knapweedbank.faults.request;

/** One run of a submission at an upstream, as the upstream saw it. */
final class RequestRun {
    final String mSubmission;
    final String mUpstream;
    boolean mDone;
    boolean mCancelled;

    RequestRun(String submission, String upstream) {
        mSubmission = submission;
        mUpstream = upstream;
    }
}
