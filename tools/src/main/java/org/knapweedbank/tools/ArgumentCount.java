package org.knapweedbank.tools;

/** Range of the number of arguments that a command accepts. */
record ArgumentCount(int minimum, int maximum) {
    static ArgumentCount exactly(int count) {
        return new ArgumentCount(count, count);
    }

    boolean accepts(int count) {
        return count >= minimum && count <= maximum;
    }
}
