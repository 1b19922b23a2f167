import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.List;

/**
 * A zone is lost for good: its entry, which is the owner, and the machines of two workers, one of
 * which runs a task that lasts. The other zones have nothing else to do.
 */
public final class Case10 {
    private static final int MAX_SUBMISSIONS = 5;

    /** One task that lasts; its data is in the rack of the zone that is lost. */
    private static final String SUBMISSION =
            "{\"spec\":\"0\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1000,"
                    + "\"estimate_ms\":500,\"long_running\":true,\"preferred_rack\":\"r-zone-0\"}]}";

    /** From this time after its last run, a task that lasts has to run. */
    private static final long RESTART_MS = 6_000;

    /** Time for which nothing may run then, with the 4 s before it calm. */
    private static final long IDLE_MS = 3_000;

    private static final long WATCH_MS = 25_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of("review/10/record.txt"));
        int result = 2;
        try (Fleet fleet = new Fleet(record, 3, 2)) {
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
        HttpClient client = Http.client();
        String id = submitUntilInLostZone(fleet, client);
        if (id == null || fleet.owner() != fleet.entries.get(0)) {
            record.line("the task or the owner is not in the zone that is to be lost");
            return 2;
        }
        if (trouble) {
            record.line("zone-0 is lost");
            fleet.signal(fleet.entries.get(0), "KILL");
            for (int i = 0; i < 2; i++) {
                fleet.signal(fleet.agents.get(i), "KILL");
                fleet.workers.get(i).lose();
            }
        }
        long endMs = Record.now() + WATCH_MS;
        boolean broken = false;
        while (Record.now() < endMs) {
            Thread.sleep(20);
            List<Worker.Run> runs = fleet.runsOf(id);
            Worker.Run last = runs.get(runs.size() - 1);
            if (last.how == null) {
                continue;
            }

            // LOST: for 3 s nothing runs, from 6 s after the last run. The loss was at one moment,
            // so that the 4 s before are calm. Four workers of 32 cores each are free.
            if (!broken && Record.now() > last.endedMs + RESTART_MS + IDLE_MS) {
                broken = true;
                record.line(
                        "nothing of the submission has run for " + (Record.now() - last.endedMs)
                                + " ms, while four workers are free");
                fleet.call(client, fleet.entries.get(1), "GET", id, "", 3_000);
            }
        }
        return broken ? 1 : 0;
    }

    /**
     * Returns the identifier of a submission whose task runs in the zone that is to be lost, and
     * cancels those whose task runs elsewhere; null if there is none after some tries.
     */
    private static String submitUntilInLostZone(Fleet fleet, HttpClient client) throws Exception {
        Fleet.Machine entry = fleet.entries.get(1);
        for (int i = 0; i < MAX_SUBMISSIONS; i++) {
            String id = String.format("%016x", 0xca0 + i);
            fleet.call(client, entry, "POST", id, SUBMISSION, 3_000);
            Thread.sleep(4_000);
            List<Worker.Run> runs = fleet.runsOf(id);
            if (runs.size() == 1 && List.of("w0", "w1").contains(runs.get(0).worker)) {
                return id;
            }
            fleet.call(client, entry, "DELETE", id, "", 3_000);
        }
        return null;
    }
}
