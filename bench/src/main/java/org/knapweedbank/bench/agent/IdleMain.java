package org.knapweedbank.bench.agent;

import java.io.IOException;

/** Process that does nothing; shows the memory of the JVM itself. */
public final class IdleMain {
    private IdleMain() {}

    /**
     * Waits until the standard input ends.
     *
     * @param args none
     * @throws IOException when the input cannot be read
     */
    public static void main(String[] args) throws IOException {
        while (System.in.read() >= 0) {
            // The parent process closes the stream to end this one.
        }
    }
}
