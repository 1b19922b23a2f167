package org.knapweedbank.entry.http;

/** Thrown when a caller's request is invalid; holds the problem document for the response. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Problem mProblem;

    /**
     * Creates the exception.
     *
     * @param problem problem document for the caller
     */
    InvalidRequestException(Problem problem) {
        super(problem.title(), null, false, false);
        mProblem = problem;
    }

    Problem problem() {
        return mProblem;
    }
}
