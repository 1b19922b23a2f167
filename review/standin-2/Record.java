import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: one line for each thing sent, answered or run, with the seconds since the start. */
final class Record {
    private static final long START_NANOS = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Milliseconds since the start of the script. */
    static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    synchronized void line(String text) {
        String line = String.format(Locale.ROOT, "%8.3f %s", now() / 1000.0, text);
        out.println(line);
        out.flush();
        System.out.println(line);
    }
}
