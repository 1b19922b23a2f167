package standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes what was sent, answered and run to record.txt, and keeps the events of the workers. */
public final class Record {
    /** Start or end of a run, or the acknowledgement of an end, as a worker has seen it. */
    public record Event(long atMillis, String kind, String worker, String task, long run, String how) {}

    private final PrintWriter mOut;
    private final long mStartNanos = System.nanoTime();
    private final List<Event> mEvents = new ArrayList<>();

    public Record(Path file) {
        try {
            mOut = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the milliseconds since the start of the case. */
    public long now() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    public synchronized void line(String text) {
        mOut.printf("%7.3f %s%n", now() / 1000.0, text);
        mOut.flush();
    }

    public synchronized void event(String kind, String worker, String task, long run, String how) {
        mEvents.add(new Event(now(), kind, worker, task, run, how));
        line(kind + " " + task + " run " + run + " on " + worker + (how.isEmpty() ? "" : ": " + how));
    }

    public synchronized List<Event> events() {
        return List.copyOf(mEvents);
    }
}
