import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import standin.Deployment;
import standin.Http;
import standin.Record;
import standin.Rules;
import standin.Worker;

/**
 * A worker is lost for good, and the agent beside it is killed and starts again. With TROUBLE=0
 * neither happens.
 */
public final class LostWorker {
    private static final int JOBS = 4;
    private static final int TASKS_PER_JOB = 6;
    private static final long KILL_DELAY_MILLIS = 500;
    private static final long RESTART_MILLIS = 1_000;
    private static final long WATCH_MILLIS = 45_000;

    /** LOST: time for which an accepted job may have nothing running although there is room. */
    private static final long MAX_IDLE_MILLIS = 3_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !args[0].equals("0");
        Record record = new Record(Path.of("review/1/record.txt"));
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
            String id = String.format("%016x", 0xd0000 + i);
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
            workers[busy - 1].crash();
            Http.sleep(KILL_DELAY_MILLIS);
            deployment.kill("side-" + busy);
            Http.sleep(RESTART_MILLIS);
            deployment.startAgent(busy);
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
