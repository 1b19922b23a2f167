package org.knapweedbank.tools;

/** Exit codes of the client. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The request was refused, the input has errors, or the result is incomplete. */
    REFUSED(1),
    /** The command line or the settings are invalid, or an input file cannot be read. */
    USAGE(2),
    /** Another change was made first; this one was not applied. */
    CONFLICT(3),
    /** The outcome is unknown: the change may have been applied or not. */
    UNKNOWN(4),
    /** No server or no store could be reached; nothing was changed. */
    UNREACHABLE(5);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the exit status
     */
    public int code() {
        return mCode;
    }
}
