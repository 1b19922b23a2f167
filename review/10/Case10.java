import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.List;

/**
 * The store is slow for a second. A requester leaves before its submission is answered and cancels
 * it.
 */
public final class Case10 {
    private static final String ID = "00000000000000ca";

    /** Two tasks, one after the other. */
    private static final String SUBMISSION =
            "{\"spec\":\"8000,1000\",\"steps\":["
                    + "{\"count\":1,\"cpu\":1000,\"mem_mb\":1000,\"estimate_ms\":8000},"
                    + "{\"count\":1,\"cpu\":1000,\"mem_mb\":1000,\"estimate_ms\":1000,\"after\":[0]}]}";

    /** 4 ms, 60 times as long. */
    private static final long SLOW_ANSWER_MS = 240;

    private static final long SLOW_MS = 1_000;

    /** Half the objective of the site's first kind of request. */
    private static final int LEAVE_AFTER_MS = 125;

    private static final long WATCH_MS = 13_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of("review/10/record.txt"));
        int result = 2;
        try (Fleet fleet = new Fleet(record, 3, 1)) {
            fleet.start();
            fleet.warmUp();
            result = play(fleet, record, trouble);
        } catch (Exception e) {
            record.line("the case could not run: " + e);
        }
        record.line(
                result == 1 ? "BROKEN" : result == 0 ? "the rule held" : "the case could not run");
        System.exit(result);
    }

    private static int play(Fleet fleet, Record record, boolean trouble) throws Exception {
        Fleet.Machine entry = fleet.entries.get(1);
        HttpClient client = Http.client();
        fleet.call(client, entry, "GET", "", "", 3_000);
        if (trouble) {
            record.line("the store's answers take " + SLOW_ANSWER_MS + " ms from now on");
            fleet.store.answerMillis = SLOW_ANSWER_MS;
            Thread.ofPlatform().start(() -> endSlowness(fleet, record));
        }

        // The requester waits for its objective's half, then it leaves and cancels.
        long sentMs = Record.now();
        fleet.call(client, entry, "POST", ID, SUBMISSION, LEAVE_AFTER_MS);
        Thread.sleep(Math.max(0, sentMs + LEAVE_AFTER_MS - Record.now()));
        Http.Answer answer = fleet.call(client, entry, "DELETE", ID, "", 3_000);
        for (int i = 0; i < 20 && answer.status() != 200 && answer.status() != 410; i++) {
            Thread.sleep(200);
            answer = fleet.call(client, fleet.entries.get(i % 3), "DELETE", ID, "", 3_000);
        }
        if (answer.status() != 200 && answer.status() != 410) {
            record.line("the cancelling was not acknowledged");
            return 2;
        }
        long acknowledgedMs = Record.now();
        Thread.sleep(WATCH_MS);
        fleet.call(client, entry, "GET", ID, "", 3_000);

        // UNASKED: a start later than cancel_ms after the acknowledgement, by an agent that has been
        // in touch: its processes ran, and the store has been calm for contact_ms.
        long earliestMs =
                Math.max(
                        acknowledgedMs + Fleet.CANCEL_MS,
                        sentMs + SLOW_MS + SLOW_ANSWER_MS + Fleet.CONTACT_MS);
        List<Worker.Run> late =
                fleet.runsOf(ID).stream().filter(run -> run.startedMs > earliestMs).toList();
        for (Worker.Run run : late) {
            record.line(
                    "started " + (run.startedMs - acknowledgedMs)
                            + " ms after the acknowledgement: " + run.task + " on " + run.worker);
        }
        return late.isEmpty() ? 0 : 1;
    }

    private static void endSlowness(Fleet fleet, Record record) {
        try {
            Thread.sleep(SLOW_MS);
            fleet.store.answerMillis = 4;
            record.line("the store's answers take 4 ms again");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
