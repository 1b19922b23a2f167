package org.knapweedbank.config;

/** Kinds of findings in a configuration. */
public enum FindingKind {
    /** An error, because of which the configuration is refused. */
    ERROR("error"),
    /** A warning of the merge, which does not prevent a change. */
    WARNING("warning"),
    /** An entry or a field that refers to nothing or never applies. */
    NO_MATCH("no-match"),
    /** Values that contradict each other. */
    CONTRADICTION("contradiction");

    private final String mText;

    FindingKind(String text) {
        mText = text;
    }

    /**
     * Returns the name of the kind in JSON output.
     *
     * @return the name
     */
    public String text() {
        return mText;
    }
}
