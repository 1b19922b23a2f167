package org.knapweedbank.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.knapweedbank.time.Clock;

/**
 * Stand-in of a worker, which may crash and start again under its identifier. The spec of a task is
 * its duration in milliseconds, followed by the end of its runs unless they are done then. The
 * clock of each incarnation starts anew.
 */
final class WorkerStandIn implements AutoCloseable {
    /** End of a run that has failed. */
    static final String FAILED = "failed";

    private static final long REPORT_INTERVAL_MILLIS = 1_500;
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

    /** Time between the first report that a worker drains and its notice that it leaves. */
    private static final long DRAIN_MILLIS = 2_500;

    /** Time after which a worker without a confirmation of its notice ends. */
    private static final long UNCONFIRMED_MILLIS = 4_000;

    private static final long MAX_LEASE_MILLIS = 10_000;
    private static final long MAX_WAIT_MILLIS = 2_000;
    private static final long FIRST_CLOCK_MILLIS = 1_000;
    private static final long WORK_INTERVAL_MILLIS = 5;

    /** Duration of a run that fails because the worker does. */
    private static final long FAILED_RUN_MILLIS = 5;

    private static final int MAX_LISTED_ENDS = 500;
    private static final long MILLI_CPU = 16_000;
    private static final long MEMORY_MB = 64_000;

    /**
     * Where a worker is.
     *
     * @param id identifier of the worker
     * @param service name of its service
     * @param host address on which it takes calls
     * @param port port on which it takes calls
     * @param reportedAddress address that it reports, as HOST:PORT
     * @param agentAddress address that takes its reports, as HOST:PORT
     * @param clockRate speed of its clock, 1 if it is right
     */
    record Place(
            String id,
            String service,
            String host,
            int port,
            String reportedAddress,
            String agentAddress,
            double clockRate) {}

    private record Run(String task, long number, long startMillis, long workMillis, String how) {}

    private record End(String task, long run, String how) {}

    private final Clock mClock;
    private final RunHistory mHistory;
    private final Place mPlace;
    private final HttpClient mClient = HttpJson.client();

    /** Number of the present incarnation; even while the worker is down. */
    private int mLife;

    private HttpServer mServer;
    private long mIncarnation;
    private long mStartMillis;

    /** Time on the clock of the soak until which runs fail, in any incarnation. */
    private long mFailsUntil = Long.MIN_VALUE;

    private boolean mDraining;
    private long mFence;
    private long mLeaseEnd;
    private long mLastEnd;
    private final Map<String, Run> mRunning = new HashMap<>();
    private final TreeMap<Long, End> mEnds = new TreeMap<>();
    private final Map<String, Long> mHighestOver = new HashMap<>();

    WorkerStandIn(Clock clock, RunHistory history, Place place) {
        mClock = clock;
        mHistory = history;
        mPlace = place;
    }

    String id() {
        return mPlace.id();
    }

    /** Starts an incarnation, which takes calls at once and reports itself after a delay. */
    synchronized void start(long firstReportMillis) throws IOException {
        int life = ++mLife;
        mIncarnation = Math.max(mIncarnation + 1, mClock.wallTime().toEpochMilli());
        mStartMillis = mClock.monotonicMillis();
        mFence = 0;
        mLeaseEnd = 0;
        mLastEnd = 0;
        mDraining = false;
        mServer = HttpJson.serve(mPlace.host(), mPlace.port(), call -> handle(life, call));
        Thread.ofPlatform().daemon().start(() -> report(life, firstReportMillis));
        Thread.ofPlatform().daemon().start(() -> work(life));
    }

    /**
     * Ends the incarnation: its connections break, and it leaves nothing behind.
     *
     * @return false if the worker was down already
     */
    boolean crash() {
        HttpServer server;
        synchronized (this) {
            if (isDown()) {
                return false;
            }
            mLife++;
            mRunning.values().forEach(run -> recordEnd(run, "crash"));
            mRunning.clear();
            mEnds.clear();
            mHighestOver.clear();
            server = mServer;
            notifyAll();
        }
        server.stop(0);
        return true;
    }

    /** Fails what is started from now on. */
    synchronized void failFor(long millis) {
        mFailsUntil = Math.max(mFailsUntil, mClock.monotonicMillis() + millis);
    }

    /**
     * Leaves as planned: reports that it drains, sends its notice and ends. Without a confirmation
     * it ends some seconds after the notice.
     *
     * @param confirmed false if the confirmation is lost
     * @return false if the worker was down or ended otherwise
     */
    boolean leave(boolean confirmed) throws InterruptedException {
        int life;
        synchronized (this) {
            if (isDown() || mDraining) {
                return false;
            }
            life = mLife;
            mDraining = true;
        }
        TimeUnit.MILLISECONDS.sleep(DRAIN_MILLIS);
        String url = "http://" + mPlace.agentAddress() + "/api/Instances.Leave/" + id();
        HttpJson.Answer answer = HttpJson.call(mClient, "POST", url, "", "", REPORT_TIMEOUT);
        if (!confirmed || !answer.isSuccess()) {
            TimeUnit.MILLISECONDS.sleep(UNCONFIRMED_MILLIS);
        }
        synchronized (this) {
            if (life != mLife) {
                return false;
            }
        }
        return crash();
    }

    @Override
    public void close() {
        crash();
    }

    private static String key(String task, long run) {
        return task + " " + run;
    }

    private boolean isDown() {
        return mLife % 2 == 0;
    }

    private long clock() {
        return FIRST_CLOCK_MILLIS
                + (long) ((mClock.monotonicMillis() - mStartMillis) * mPlace.clockRate());
    }

    private void report(int life, long firstReportMillis) {
        try {
            TimeUnit.MILLISECONDS.sleep(firstReportMillis);
            for (int sequence = 1; ; sequence++) {
                ObjectNode report = HttpJson.object();
                synchronized (this) {
                    if (life != mLife) {
                        return;
                    }
                    report.put("service", mPlace.service())
                            .put("state", mDraining ? "draining" : "ready");
                    report.put("address", mPlace.reportedAddress()).put("zone", "zone-a");
                    report.put("version", "v1").put("slots", 8).put("cold_left_ms", 0);
                    report.put("clock_ms", clock()).put("seq", sequence).put("born", mIncarnation);
                    report.putObject("capacity")
                            .put("cpu", MILLI_CPU)
                            .put("mem_mb", MEMORY_MB)
                            .put("gpu", 0);
                    report.putArray("labels").add("a").add("r1-1");
                }
                String url = "http://" + mPlace.agentAddress() + "/api/Instances.Heartbeat/" + id();
                HttpJson.call(mClient, "POST", url, "", report.toString(), REPORT_TIMEOUT);
                TimeUnit.MILLISECONDS.sleep(REPORT_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void work(int life) {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(WORK_INTERVAL_MILLIS);
                synchronized (this) {
                    if (life != mLife) {
                        return;
                    }
                    advance();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the runs whose work is done, and all others if the lease has expired. */
    private void advance() {
        long now = clock();
        List.copyOf(mRunning.values()).stream()
                .filter(run -> run.startMillis() + run.workMillis() <= Math.min(now, mLeaseEnd))
                .forEach(run -> end(run, run.how()));
        if (now > mLeaseEnd && mLeaseEnd > 0) {
            mLeaseEnd = 0;
            record(RunEvent.Kind.LEASE_EXPIRED, "", 0, mRunning.size() + " runs end");
            List.copyOf(mRunning.values()).forEach(run -> end(run, "lapsed"));
        }
    }

    private void end(Run run, String how) {
        mRunning.remove(key(run.task(), run.number()));
        mEnds.put(++mLastEnd, new End(run.task(), run.number(), how));
        mHighestOver.merge(run.task(), run.number(), Math::max);
        recordEnd(run, how);
        notifyAll();
    }

    private void recordEnd(Run run, String how) {
        record(RunEvent.Kind.END, run.task(), run.number(), how);
    }

    private void record(RunEvent.Kind kind, String task, long run, String detail) {
        mHistory.record(kind, id(), mIncarnation, mFence, task, run, detail);
    }

    private void handle(int life, HttpExchange exchange) throws IOException {
        JsonNode body = HttpJson.body(exchange);
        ObjectNode answer = HttpJson.object();
        int status;
        synchronized (this) {
            if (life != mLife) {
                exchange.close();
                return;
            }
            advance();
            status = carryOut(exchange, life, body, answer);
            if (life != mLife) {
                exchange.close();
                return;
            }
            answer.put("clock_ms", clock()).put("born", mIncarnation);
        }
        HttpJson.answer(exchange, status, answer);
    }

    private int carryOut(HttpExchange exchange, int life, JsonNode body, ObjectNode answer) {
        String expected = exchange.getRequestHeaders().getFirst("X-Knapweedbank-Expect-Instance");
        long fence = body.path("fencing_token").asLong(0);
        if (expected != null && !expected.equals(id())) {
            return 421;
        } else if (fence < mFence) {
            answer.put("reason", "fence");
            return 409;
        }
        mFence = fence;
        return switch (exchange.getRequestURI().getPath()) {
            case "/api/run-start" -> startRun(body, answer);
            case "/api/run-stop" -> stopRun(body);
            case "/api/hold" -> renewLease(life, body, answer);
            case "/api/pace" -> 200;
            default -> 404;
        };
    }

    private int startRun(JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        long number = body.path("run").asLong();
        long deadline = body.path("deadline_ms").asLong();
        if (mRunning.containsKey(key(task, number))) {
            return 200;
        } else if (clock() > deadline) {
            answer.put("reason", "late");
            return 409;
        }
        extendLease(deadline);
        if (number <= mHighestOver.getOrDefault(task, 0L)) {
            answer.put("reason", "old");
            return 409;
        }
        Run run = createRun(task, number, body.path("spec").asText());
        mRunning.put(key(task, number), run);
        record(RunEvent.Kind.START, task, number, "lease until " + mLeaseEnd + " at " + clock());
        return 200;
    }

    private Run createRun(String task, long number, String spec) {
        if (mClock.monotonicMillis() < mFailsUntil) {
            return new Run(task, number, clock(), FAILED_RUN_MILLIS, FAILED);
        }
        String[] parts = spec.split(" ");
        String how = parts.length > 1 ? parts[1] : "done";
        return new Run(task, number, clock(), Long.parseLong(parts[0]), how);
    }

    private int stopRun(JsonNode body) {
        String task = body.path("task").asText();
        long number = body.path("run").asLong();
        Run run = mRunning.get(key(task, number));
        if (run != null) {
            end(run, "stopped");
        }
        mHighestOver.merge(task, number, Math::max);
        return 200;
    }

    /** Forgets the ends that the agent has seen, extends the lease and waits for an end. */
    private int renewLease(int life, JsonNode body, ObjectNode answer) {
        long lastSeen = body.path("last_seen").asLong();
        Map<Long, End> seen = mEnds.headMap(lastSeen, true);
        seen.forEach(
                (number, end) ->
                        record(
                                RunEvent.Kind.ACKNOWLEDGED,
                                end.task(),
                                end.run(),
                                "end " + number + " by last_seen " + lastSeen));
        seen.clear();
        if (body.has("deadline_ms")) {
            extendLease(body.path("deadline_ms").asLong());
        }
        long waitMillis = Math.min(MAX_WAIT_MILLIS, body.path("wait_ms").asLong(0));
        long waitEnd = mClock.monotonicMillis() + waitMillis;
        try {
            long left = waitMillis;
            while (life == mLife && mEnds.isEmpty() && left > 0) {
                wait(left);
                left = waitEnd - mClock.monotonicMillis();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ArrayNode running = answer.putArray("running");
        mRunning.values().forEach(run -> running.add(encode(run)));
        ArrayNode ended = answer.putArray("ended");
        mEnds.entrySet().stream()
                .limit(MAX_LISTED_ENDS)
                .forEach(end -> ended.add(encode(end.getKey(), end.getValue())));
        return 200;
    }

    private ArrayNode encode(Run run) {
        long percent = Math.min(99, 100 * (clock() - run.startMillis()) / run.workMillis());
        return HttpJson.object()
                .arrayNode()
                .add(run.task())
                .add(run.number())
                .add("")
                .add(percent)
                .add(0);
    }

    private static ArrayNode encode(long number, End end) {
        return HttpJson.object()
                .arrayNode()
                .add(number)
                .add(end.task())
                .add(end.run())
                .add(end.how())
                .add("");
    }

    private void extendLease(long deadline) {
        mLeaseEnd = Math.max(mLeaseEnd, Math.min(deadline, clock() + MAX_LEASE_MILLIS));
    }
}
