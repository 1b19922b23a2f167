package org.knapweedbank.bench.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads memory and processor time of a process from {@code /proc}. */
final class ProcessReadings {
    /** Clock ticks a second in {@code /proc/PID/stat}; fixed by the Linux ABI. */
    private static final double TICKS_PER_SECOND = 100;

    private static final int USER_TIME_FIELD = 11;

    private final Path mDirectory;

    ProcessReadings(long pid) {
        mDirectory = Path.of("/proc", Long.toString(pid));
    }

    /** A size from {@code status}, such as {@code VmRSS}, in MiB. */
    double megabytes(String name) throws IOException {
        for (String line : Files.readAllLines(mDirectory.resolve("status"))) {
            if (line.startsWith(name + ":")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
            }
        }
        throw new IOException("no " + name + " in " + mDirectory);
    }

    /** Processor time used so far, in seconds. */
    double cpuSeconds() throws IOException {
        String stat = Files.readString(mDirectory.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TIME_FIELD])
                        + Long.parseLong(fields[USER_TIME_FIELD + 1]);
        return ticks / TICKS_PER_SECOND;
    }

    /** Number of threads. */
    long threads() throws IOException {
        try (var tasks = Files.list(mDirectory.resolve("task"))) {
            return tasks.count();
        }
    }
}
