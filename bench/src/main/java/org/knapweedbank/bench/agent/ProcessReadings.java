package org.knapweedbank.bench.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads memory and processor time of a process from {@code /proc}. */
final class ProcessReadings {
    /** Clock ticks a second in {@code /proc/PID/stat}; fixed by the Linux ABI. */
    private static final double TICKS_PER_SECOND = 100;

    private static final int USER_TIME_INDEX = 11;

    private final Path mProcDirectory;

    ProcessReadings(long pid) {
        mProcDirectory = Path.of("/proc", Long.toString(pid));
    }

    /** A size from {@code status}, such as {@code VmRSS}, in MiB. */
    double statusMebibytes(String name) throws IOException {
        for (String line : Files.readAllLines(mProcDirectory.resolve("status"))) {
            if (line.startsWith(name + ":")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
            }
        }
        throw new IOException("no " + name + " in " + mProcDirectory);
    }

    /** Processor time used so far, in seconds. */
    double cpuSeconds() throws IOException {
        String stat = Files.readString(mProcDirectory.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TIME_INDEX])
                        + Long.parseLong(fields[USER_TIME_INDEX + 1]);
        return ticks / TICKS_PER_SECOND;
    }

    /** Number of threads. */
    long threadCount() throws IOException {
        try (var tasks = Files.list(mProcDirectory.resolve("task"))) {
            return tasks.count();
        }
    }
}
