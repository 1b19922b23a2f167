package org.knapweedbank.entry.http;

/** A caller's request has an invalid part. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Problem mProblem;

    /**
     * Creates the exception.
     *
     * @param problem answer for the caller
     */
    InvalidRequestException(Problem problem) {
        super(problem.title(), null, false, false);
        mProblem = problem;
    }

    Problem problem() {
        return mProblem;
    }
}
