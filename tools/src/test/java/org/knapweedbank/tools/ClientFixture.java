package org.knapweedbank.tools;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.time.ManualClock;

/** Runs the client with captured streams and with environment and clock set by the test. */
final class ClientFixture {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private final Map<String, String> mEnvironment = new HashMap<>(Map.of("HOME", "/nonexistent"));
    private final ManualClock mClock = new ManualClock();

    ExitCode run(String... args) {
        mOut.reset();
        mErr.reset();
        return new KnapweedbankClient(
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8),
                        mEnvironment,
                        mClock,
                        () -> mClock.advance(Duration.ofSeconds(10)))
                .run(args);
    }

    Map<String, String> environment() {
        return mEnvironment;
    }

    String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }
}
