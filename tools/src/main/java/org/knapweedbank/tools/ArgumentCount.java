package org.knapweedbank.tools;

/** Number of arguments that a command takes. */
record ArgumentCount(int least, int most) {
    static ArgumentCount exactly(int count) {
        return new ArgumentCount(count, count);
    }

    boolean accepts(int count) {
        return count >= least && count <= most;
    }
}
