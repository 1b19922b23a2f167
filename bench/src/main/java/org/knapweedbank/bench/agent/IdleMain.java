package org.knapweedbank.bench.agent;

import java.io.IOException;

/** Process that only waits, which shows the memory use of the JVM itself. */
public final class IdleMain {
    private IdleMain() {}

    /**
     * Waits for the end of the standard input.
     *
     * @param args not used
     * @throws IOException when the standard input cannot be read
     */
    public static void main(String[] args) throws IOException {
        while (System.in.read() >= 0) {
            // The parent process closes the stream to stop this process.
        }
    }
}
