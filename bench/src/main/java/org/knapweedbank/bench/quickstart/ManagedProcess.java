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

/** A child process of the quickstart, with its output in a log file. */
final class ManagedProcess {
    private final String mName;
    private final Process mProcess;
    private final CompletableFuture<String> mReadyLine = new CompletableFuture<>();

    private ManagedProcess(String name, Process process) {
        mName = name;
        mProcess = process;
    }

    /**
     * Starts a process.
     *
     * @param name name for messages and the log file
     * @param command program and arguments
     * @param logDirectory folder of the log file
     * @param readyText text of the output line that tells that the process is ready
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
        mReadyLine.completeExceptionally(new IOException(mName + " has ended; see " + logFile));
    }

    /** Waits for the ready line and returns it. */
    String awaitReady(Duration timeout) throws IOException, InterruptedException {
        try {
            return mReadyLine.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IOException(mName + " did not become ready", e.getCause());
        } catch (TimeoutException e) {
            throw new IOException(mName + " did not become ready in " + timeout, e);
        }
    }

    String name() {
        return mName;
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Ends the process outright, as a crash would. */
    void kill() {
        mProcess.destroyForcibly();
    }

    /** Asks the process to stop. */
    void terminate() {
        mProcess.destroy();
    }

    /** Waits for the end; a process that goes on is killed and false is returned. */
    boolean awaitExit(Duration timeout) throws InterruptedException {
        if (mProcess.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
            return true;
        }
        mProcess.destroyForcibly();
        mProcess.waitFor();
        return false;
    }
}
