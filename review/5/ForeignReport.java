import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import standin.Deployment;
import standin.Http;
import standin.Record;
import standin.Rules;
import standin.Worker;

/**
 * Another writer sends one status report whose service no manifest names. With TROUBLE=0 it sends
 * none.
 */
public final class ForeignReport {
    private static final int JOBS = 4;
    private static final int TASKS_PER_JOB = 6;
    private static final long WATCH_MILLIS = 40_000;

    /** LOST: time for which an accepted job may have nothing running although there is room. */
    private static final long MAX_IDLE_MILLIS = 3_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !args[0].equals("0");
        Record record = new Record(Path.of("review/5/record.txt"));
        int exitCode = 2;
        try (Deployment deployment = new Deployment(record)) {
            exitCode = play(record, deployment, trouble);
        } catch (Exception e) {
            record.line("the case couldn't run: " + e);
        }
        System.exit(exitCode);
    }

    private static int play(Record record, Deployment deployment, boolean trouble) throws Exception {
        // Two workers with the size of sites/smao-heredia.toml.
        Worker[] workers = {
            deployment.worker(1, 32_000, 128_000), deployment.worker(2, 32_000, 128_000)
        };
        deployment.startEntry();
        deployment.startAgent(1);
        deployment.startAgent(2);
        workers[0].start(0);
        workers[1].start(0);
        deployment.awaitReady();
        Http.sleep(3_000);

        // Four jobs of six tasks, each of which takes 12 s.
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0xc0000 + i);
            String body =
                    "{\"spec\":\"12000\",\"steps\":[{\"count\":"
                            + TASKS_PER_JOB
                            + ",\"cpu\":480,\"mem_mb\":960,\"estimate_ms\":12000}]}";
            if (deployment.call("POST", id, body).status() == 200) {
                accepted.add(id);
            }
        }
        Http.sleep(1_000);
        int busy = workers[0].runningCount() > workers[1].runningCount() ? 1 : 2;
        record.line(workers[busy - 1].runningCount() + " tasks run on worker " + busy);
        if (trouble) {
            String report =
                    "{\"service\":\"bodega\",\"address\":\""
                            + workers[busy - 1].address()
                            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":4,"
                            + "\"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":8000,"
                            + "\"mem_mb\":16000,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
                            + "\"clock_ms\":1200,\"seq\":1,\"born\":"
                            + System.currentTimeMillis()
                            + "}";
            String path = "/api/Instances.Heartbeat/i-9";
            String address = deployment.controlAddress(busy);
            int status = Http.call("POST", address, path, "", report, 1_000).status();
            record.line("status report of another writer: " + report + " -> " + status);
        }
        Http.sleep(WATCH_MILLIS);

        int lost = 0;
        for (String id : accepted) {
            String state = deployment.call("GET", id, "").body().path("state").asText();
            long idleMillis = record.now() - Rules.lastEvent(record, id);
            if (!state.equals("completed") && idleMillis > MAX_IDLE_MILLIS) {
                lost++;
                record.line("LOST: " + id + " is " + state + ", idle for " + idleMillis + " ms");
            }
        }
        record.line(lost + " of " + accepted.size() + " accepted jobs are lost");
        return accepted.isEmpty() ? 2 : lost > 0 ? 1 : 0;
    }
}
