import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import standin.Deployment;
import standin.Http;
import standin.Record;
import standin.Worker;

/**
 * A worker is lost for good, and the entry, which owns the jobs, is killed and starts again. With
 * TROUBLE=0 neither happens.
 */
public final class SlowTakeover {
    private static final int JOBS = 4;
    private static final int TASKS_PER_JOB = 6;
    private static final long KILL_DELAY_MILLIS = 500;
    private static final long RESTART_MILLIS = 1_000;

    /** LOST: the calm time before the 3 s, and the 3 s for which a job may have nothing running. */
    private static final long MAX_IDLE_MILLIS = 4_000 + 3_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !args[0].equals("0");
        Record record = new Record(Path.of("review/4/record.txt"));
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
            String id = String.format("%016x", 0xe0000 + i);
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
        long crashedAt = record.now();
        if (trouble) {
            workers[busy - 1].crash();
            Http.sleep(KILL_DELAY_MILLIS);
            deployment.kill("front-1");
            Http.sleep(RESTART_MILLIS);
            deployment.startEntry();
        }
        deployment.awaitReady();

        // From here on nothing is disturbed: 4 s of calm, then at most 3 s with nothing running.
        long calmFrom = record.now();
        Http.sleep(30_000);
        int lost = 0;
        for (String id : accepted) {
            long restartedAt = trouble ? firstStartAfter(record, id, crashedAt) : calmFrom;
            long idleMillis = restartedAt - calmFrom;
            record.line(id + " ran again " + idleMillis + " ms after the entry was ready");
            if (idleMillis > MAX_IDLE_MILLIS) {
                lost++;
                record.line("LOST: " + id + " had nothing running for " + idleMillis + " ms of calm");
            }
            deployment.call("GET", id, "");
        }
        record.line(lost + " of " + accepted.size() + " accepted jobs were idle for too long");
        return accepted.isEmpty() ? 2 : lost > 0 ? 1 : 0;
    }

    /** Returns the time of the first start of a task of a job after a moment, now if there is none. */
    private static long firstStartAfter(Record record, String job, long afterMillis) {
        return record.events().stream()
                .filter(event -> event.kind().equals("start"))
                .filter(event -> event.task().startsWith(job + "."))
                .mapToLong(Record.Event::atMillis)
                .filter(atMillis -> atMillis > afterMillis)
                .min()
                .orElse(record.now());
    }
}
