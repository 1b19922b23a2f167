package org.knapweedbank.bench.quickstart;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A child process of the quickstart whose output is written to a log file. */
final class ManagedProcess {
    private final String mName;
    private final Process mProcess;

    /** Completed with the line that the process printed when it was ready. */
    private final CompletableFuture<String> mReadyLine = new CompletableFuture<>();

    private ManagedProcess(String name, Process process) {
        mName = name;
        mProcess = process;
    }

    /**
     * Starts a process.
     *
     * @param name name for messages, and of the log file
     * @param command program and arguments
     * @param logDirectory directory of the log file
     * @param readyText text of the output line that the process prints when it is ready
     */
    static ManagedProcess start(
            String name, List<String> command, Path logDirectory, String readyText)
            throws IOException {
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        ManagedProcess managed = new ManagedProcess(name, process);
        Path logFile = logDirectory.resolve(name + ".log");
        Thread reader = new Thread(() -> managed.copyOutput(logFile, readyText), "output-" + name);
        reader.setDaemon(true);
        reader.start();
        return managed;
    }

    /** Copies the output to the log file until the process exits, and detects the ready line. */
    private void copyOutput(Path logFile, String readyText) {
        try (BufferedReader reader =
                        new BufferedReader(
                                new InputStreamReader(
                                        mProcess.getInputStream(), StandardCharsets.UTF_8));
                PrintWriter writer = new PrintWriter(logFile.toFile(), StandardCharsets.UTF_8)) {
            String line = reader.readLine();
            while (line != null) {
                writer.println(line);
                writer.flush();
                if (line.contains(readyText)) {
                    mReadyLine.complete(line);
                }
                line = reader.readLine();
            }
        } catch (IOException e) {
            mReadyLine.completeExceptionally(e);
        }
        mReadyLine.completeExceptionally(new IOException(mName + " exited; see " + logFile));
    }

    /** Waits until the process is ready and returns the line that it printed then. */
    String awaitReady(Duration timeout) throws IOException, InterruptedException {
        try {
            return mReadyLine.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IOException(mName + " did not become ready", e.getCause());
        } catch (TimeoutException e) {
            throw new IOException(mName + " did not become ready within " + timeout, e);
        }
    }

    String name() {
        return mName;
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Kills the process without a graceful stop, as a crash would. */
    void kill() {
        mProcess.destroyForcibly();
    }

    /** Requests a graceful stop of the process. */
    void terminate() {
        mProcess.destroy();
    }

    /**
     * Waits until the process exits, and kills it after the timeout.
     *
     * @param timeout time to wait
     * @return false if the process was killed
     */
    boolean awaitExit(Duration timeout) throws InterruptedException {
        if (mProcess.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
            return true;
        }
        mProcess.destroyForcibly();
        mProcess.waitFor();
        return false;
    }
}
