import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.List;

/**
 * The open channels between the agents and their workers go silent for good, while new ones work. A
 * submission of many short tasks has been run before, so that each agent has as many channels open
 * as it keeps.
 */
public final class Case8 {
    private static final String SHORT_ID = "00000000000000d8";
    private static final String LASTING_ID = "00000000000000c8";

    /** Twenty short tasks for each of the three workers. */
    private static final String SHORT =
            "{\"spec\":\"500\",\"steps\":[{\"count\":60,\"cpu\":500,\"mem_mb\":500,"
                    + "\"estimate_ms\":500,\"max_per_server\":20}]}";

    /** One task that lasts. */
    private static final String LASTING =
            "{\"spec\":\"0\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1000,"
                    + "\"estimate_ms\":500,\"long_running\":true}]}";

    /** From this time after its last run, a task that lasts has to run. */
    private static final long RESTART_MS = 6_000;

    /** Time for which nothing may run then, with the 4 s before it calm. */
    private static final long IDLE_MS = 3_000;

    private static final long WATCH_MS = 30_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of("review/8/record.txt"));
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
        HttpClient client = Http.client();
        Fleet.Machine entry = fleet.entries.get(1);
        fleet.call(client, entry, "POST", LASTING_ID, LASTING, 3_000);
        fleet.call(client, entry, "POST", SHORT_ID, SHORT, 3_000);
        Thread.sleep(4_000);
        if (fleet.runsOf(LASTING_ID).size() != 1) {
            record.line("the task that lasts has not started once");
            return 2;
        }
        if (trouble) {
            for (Proxy proxy : fleet.callProxies) {
                record.line(proxy.silenceOpenChannels() + " channels of an agent go silent");
            }
        }
        long endMs = Record.now() + WATCH_MS;
        boolean broken = false;
        while (Record.now() < endMs) {
            Thread.sleep(20);
            List<Worker.Run> runs = fleet.runsOf(LASTING_ID);
            Worker.Run last = runs.get(runs.size() - 1);

            // LOST: for 3 s nothing runs, from 6 s after the last run. The channels have gone silent
            // at one moment, so that the 4 s before are calm. The workers are idle.
            if (!broken
                    && last.how != null
                    && Record.now() > last.endedMs + RESTART_MS + IDLE_MS) {
                broken = true;
                record.line(
                        "nothing of the submission has run for " + (Record.now() - last.endedMs)
                                + " ms, while all workers are free and can be reached");
            }
        }
        return broken ? 1 : 0;
    }
}
