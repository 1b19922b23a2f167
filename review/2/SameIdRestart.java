import java.nio.file.Path;
import standin.Deployment;
import standin.Http;
import standin.Record;
import standin.Rules;
import standin.Worker;

/**
 * A worker crashes and starts again under its id, and reports itself one heartbeat interval later.
 * Short tasks run all the while. With TROUBLE=0 the worker doesn't crash.
 */
public final class SameIdRestart {
    private static final int TASKS_PER_JOB = 6;
    private static final long JOB_INTERVAL_MILLIS = 250;
    private static final long RESTART_MILLIS = 500;

    public static void main(String[] args) throws Exception {
        boolean trouble = !args[0].equals("0");
        Record record = new Record(Path.of("review/2/record.txt"));
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

        // Four jobs a second for 20 s, each of six tasks that take 250 to 350 ms.
        int jobs = 0;
        int accepted = 0;
        boolean crashed = false;
        long start = record.now();
        while (record.now() < start + 20_000) {
            String id = String.format("%016x", 0xa0000 + jobs++);
            String body =
                    "{\"spec\":\"250 100\",\"steps\":[{\"count\":"
                            + TASKS_PER_JOB
                            + ",\"cpu\":480,\"mem_mb\":960,\"estimate_ms\":300}]}";
            accepted += deployment.call("POST", id, body).status() == 200 ? 1 : 0;
            if (trouble && !crashed && record.now() > start + 10_000) {
                crashed = true;
                Worker busy = workers[0].lastEnd() > workers[1].lastEnd() ? workers[0] : workers[1];
                restartLater(busy);
            }
            Http.sleep(JOB_INTERVAL_MILLIS);
        }
        Http.sleep(8_000);

        for (int i = 0; i < jobs; i++) {
            deployment.call("GET", String.format("%016x", 0xa0000 + i), "");
        }
        int broken = Rules.twice(record);
        record.line(accepted + " of " + jobs + " jobs accepted; TWICE broken " + broken + " times");
        return accepted == 0 ? 2 : broken > 0 ? 1 : 0;
    }

    /** Crashes a worker and starts it again; its first status report comes with its timer. */
    private static void restartLater(Worker worker) {
        Thread.ofPlatform()
                .start(
                        () -> {
                            try {
                                worker.crash();
                                Http.sleep(RESTART_MILLIS);
                                worker.start(Worker.HEARTBEAT_MILLIS);
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        });
    }
}
