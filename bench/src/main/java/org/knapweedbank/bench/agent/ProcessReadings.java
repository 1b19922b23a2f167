package org.knapweedbank.bench.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads memory use, processor time and thread count of a process from {@code /proc}. */
final class ProcessReadings {
    /** Clock ticks per second in {@code /proc/PID/stat}, a fixed value of the Linux ABI. */
    private static final double TICKS_PER_SECOND = 100;

    /**
     * Index of the user time among the fields after the process name; the system time follows it.
     */
    private static final int USER_TIME_INDEX = 11;

    private final Path mProcDirectory;

    ProcessReadings(long pid) {
        mProcDirectory = Path.of("/proc", Long.toString(pid));
    }

    /** Returns a size from {@code /proc/PID/status}, such as {@code VmRSS}, in MiB. */
    double statusMebibytes(String name) throws IOException {
        for (String line : Files.readAllLines(mProcDirectory.resolve("status"))) {
            if (line.startsWith(name + ":")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
            }
        }
        throw new IOException("no line " + name + " in the status file of " + mProcDirectory);
    }

    /** Returns the processor time used so far, in seconds. */
    double cpuSeconds() throws IOException {
        String stat = Files.readString(mProcDirectory.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TIME_INDEX])
                        + Long.parseLong(fields[USER_TIME_INDEX + 1]);
        return ticks / TICKS_PER_SECOND;
    }

    /** Returns the number of threads. */
    long threadCount() throws IOException {
        try (var tasks = Files.list(mProcDirectory.resolve("task"))) {
            return tasks.count();
        }
    }
}
