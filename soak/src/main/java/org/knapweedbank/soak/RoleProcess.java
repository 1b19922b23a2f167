package org.knapweedbank.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A role of the deployment as a process of its own, which can be started again after it has ended.
 * Signals go to the process by its id only.
 */
final class RoleProcess implements AutoCloseable {
    private static final String SETTINGS_VARIABLE = "KNAPWEEDBANK_CONFIG";

    private final String mName;
    private final List<String> mCommand;
    private final Path mSettings;
    private final Path mLog;
    private Process mProcess;
    private boolean mClosed;

    /**
     * Describes a process; it isn't started yet.
     *
     * @param name name of the node
     * @param command program and arguments
     * @param settings settings file
     * @param log file to which the output of all starts is appended
     */
    RoleProcess(String name, List<String> command, Path settings, Path log) {
        mName = name;
        mCommand = command;
        mSettings = settings;
        mLog = log;
    }

    String name() {
        return mName;
    }

    Path log() {
        return mLog;
    }

    /** Starts the process unless it runs. */
    synchronized void start() throws IOException {
        if (mClosed || isRunning()) {
            return;
        }
        ProcessBuilder builder = new ProcessBuilder(mCommand);
        builder.environment().put(SETTINGS_VARIABLE, mSettings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
        mProcess = builder.start();
    }

    synchronized boolean isRunning() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Sends a signal to the process if it runs. */
    synchronized void signal(ProcessSignal signal) throws IOException, InterruptedException {
        if (isRunning()) {
            switch (signal) {
                case TERM -> mProcess.destroy();
                case KILL -> mProcess.destroyForcibly();
                case STOP, CONT -> {
                    String pid = Long.toString(mProcess.pid());
                    new ProcessBuilder("kill", "-" + signal, pid)
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start()
                            .waitFor();
                }
            }
        }
    }

    /** Ends the process with a signal and, if it is still there after the grace, with SIGKILL. */
    void end(ProcessSignal signal, Duration grace) throws IOException, InterruptedException {
        signal(signal);
        Process process = process();
        if (process != null && !process.waitFor(grace.toMillis(), TimeUnit.MILLISECONDS)) {
            process.destroyForcibly().waitFor();
        }
    }

    private synchronized Process process() {
        return mProcess;
    }

    /** Kills the process for good. */
    @Override
    public synchronized void close() {
        mClosed = true;
        if (mProcess != null) {
            mProcess.destroyForcibly().onExit().join();
        }
    }
}
