package org.knapweedbank.tools;

/** Exit codes of the client. */
public enum ExitCode {
    /** The command is done. */
    DONE(0),
    /** The request was refused, or there are errors. */
    REFUSED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** Another change came first; this one was not applied. */
    CONFLICT(3),
    /** It is not known whether the change was applied. */
    UNKNOWN(4),
    /** No server answered; nothing was changed. */
    UNREACHABLE(5);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    /**
     * The number that the process ends with.
     *
     * @return the exit code
     */
    public int code() {
        return mCode;
    }
}
