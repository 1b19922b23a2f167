package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of a worker, as PROTOCOL.md describes it. The first number in the spec of a task is its
 * work in milliseconds; the second one, if there is one, is the range of what is added to it, which
 * the name of the task picks.
 */
public final class Worker {
    public static final long HEARTBEAT_MILLIS = 1_500;
    private static final long MAX_HOLD_MILLIS = 10_000;
    private static final long FIRST_CLOCK_MILLIS = 1_000;
    private static final int MAX_ENDS_PER_ANSWER = 500;

    private record Run(String task, long number, long startMillis, long workMillis) {}

    private record End(long number, String task, long run, String how) {}

    private final Record mRecord;
    private final String mId;
    private final String mHost;
    private final int mPort;
    private final String mAgentAddress;
    private final String mService;
    private final long mMilliCpu;
    private final long mMemoryMb;

    /** The state of one life; all of it is lost in a crash. */
    private int mLife;

    private HttpServer mServer;
    private long mBorn;
    private long mBornNanos;
    private long mSequence;
    private long mFencingToken;
    private long mLeaseEnd;
    private boolean mLapsed;
    private long mLastEnd;
    private final Map<String, Run> mRunning = new HashMap<>();
    private final TreeMap<Long, End> mEnds = new TreeMap<>();
    private final Map<String, Long> mHighestOver = new HashMap<>();

    public Worker(
            Record record,
            String id,
            String host,
            int port,
            String agentAddress,
            String service,
            long milliCpu,
            long memoryMb) {
        mRecord = record;
        mId = id;
        mHost = host;
        mPort = port;
        mAgentAddress = agentAddress;
        mService = service;
        mMilliCpu = milliCpu;
        mMemoryMb = memoryMb;
    }

    public String address() {
        return mHost + ":" + mPort;
    }

    /** Begins a life: takes calls at once, and reports itself for the first time after a delay. */
    public synchronized void start(long firstReportMillis) throws IOException {
        mLife = Math.max(1, mLife);
        int life = mLife;
        mBorn = System.currentTimeMillis();
        mBornNanos = System.nanoTime();
        mSequence = 0;
        mFencingToken = 0;
        mLeaseEnd = 0;
        mLapsed = false;
        mLastEnd = 0;
        mServer = Http.serve(mHost, mPort, exchange -> handle(life, exchange));
        mRecord.line("worker " + name() + " starts, born " + mBorn);
        Thread.ofPlatform().daemon().start(() -> report(life, firstReportMillis));
        Thread.ofPlatform().daemon().start(() -> work(life));
    }

    /** Ends the life without a word: channels break, and nothing is kept. */
    public synchronized void crash() {
        mRecord.line("worker " + name() + " crashes");
        mRunning.values()
                .forEach(run -> mRecord.event("end", name(), run.task(), run.number(), "crash"));
        mLife++;
        mServer.stop(0);
        mRunning.clear();
        mEnds.clear();
        mHighestOver.clear();
        notifyAll();
    }

    public synchronized int runningCount() {
        return mRunning.size();
    }

    /** Returns the highest number of an end in this life. */
    public synchronized long lastEnd() {
        return mLastEnd;
    }

    private String name() {
        return mId + "/" + mLife;
    }

    private static String key(String task, long run) {
        return task + " " + run;
    }

    private long clock() {
        return FIRST_CLOCK_MILLIS + (System.nanoTime() - mBornNanos) / 1_000_000;
    }

    private void report(int life, long firstReportMillis) {
        Http.sleep(firstReportMillis);
        while (true) {
            ObjectNode report = Http.object();
            synchronized (this) {
                if (life != mLife) {
                    return;
                }
                report.put("service", mService).put("address", address()).put("zone", "zone-a");
                report.put("version", "v1").put("slots", 8).put("state", "ready");
                report.put("cold_left_ms", 0).put("clock_ms", clock()).put("seq", ++mSequence);
                report.put("born", mBorn);
                report.putObject("capacity").put("cpu", mMilliCpu).put("mem_mb", mMemoryMb).put("gpu", 0);
                report.putArray("labels").add("a").add("r1-1");
            }
            String path = "/api/Instances.Heartbeat/" + mId;
            Http.Answer answer = Http.call("POST", mAgentAddress, path, "", report.toString(), 1_000);
            mRecord.line(
                    "status report " + report.path("seq") + " of " + mId + ": " + answer.status());
            Http.sleep(HEARTBEAT_MILLIS);
        }
    }

    /** Ends runs whose work is done, and all of them when the lease has expired. */
    private void work(int life) {
        while (true) {
            Http.sleep(10);
            synchronized (this) {
                if (life != mLife) {
                    return;
                }
                long now = clock();
                List.copyOf(mRunning.values()).stream()
                        .filter(run -> now >= run.startMillis() + run.workMillis())
                        .forEach(run -> end(run, "done"));
                if (now > mLeaseEnd && !mLapsed && mLeaseEnd > 0) {
                    mLapsed = true;
                    mRecord.event("lapse", name(), "-", 0, mRunning.size() + " runs end");
                    List.copyOf(mRunning.values()).forEach(run -> end(run, "lapsed"));
                }
            }
        }
    }

    private void end(Run run, String how) {
        mRunning.remove(key(run.task(), run.number()));
        mEnds.put(++mLastEnd, new End(mLastEnd, run.task(), run.number(), how));
        mHighestOver.merge(run.task(), run.number(), Math::max);
        mRecord.event("end", name(), run.task(), run.number(), how);
        notifyAll();
    }

    private void handle(int life, HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        JsonNode body = Http.body(exchange);
        String expected = exchange.getRequestHeaders().getFirst("X-Knapweedbank-Expect-Instance");
        int status;
        ObjectNode answer = Http.object();
        synchronized (this) {
            if (life != mLife) {
                return;
            }
            if (expected != null && !expected.equals(mId)) {
                status = 421;
            } else if (body.path("fencing_token").asLong(0) < mFencingToken) {
                status = 409;
                answer.put("reason", "fence");
            } else {
                mFencingToken = body.path("fencing_token").asLong(0);
                status =
                        switch (path) {
                            case "/api/run-start" -> startRun(body, answer);
                            case "/api/run-stop" -> stopRun(body);
                            case "/api/hold" -> hold(life, body, answer);
                            case "/api/pace" -> 200;
                            default -> 404;
                        };
                if (life != mLife) {
                    return;
                }
            }
            answer.put("clock_ms", clock()).put("born", mBorn);
        }
        Http.answer(exchange, status, answer);
    }

    private int startRun(JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        long number = body.path("run").asLong();
        long deadline = body.path("deadline_ms").asLong();
        if (mRunning.containsKey(key(task, number))) {
            return 200;
        }
        if (clock() > deadline) {
            answer.put("reason", "late");
            return 409;
        }
        extendLease(deadline);
        if (number <= mHighestOver.getOrDefault(task, 0L)) {
            answer.put("reason", "old");
            return 409;
        }
        String[] spec = body.path("spec").asText().split(" ");
        long work = Long.parseLong(spec[0]);
        if (spec.length > 1) {
            work += Math.floorMod(task.hashCode() * 31L, Long.parseLong(spec[1]));
        }
        mRunning.put(key(task, number), new Run(task, number, clock(), work));
        mRecord.event("start", name(), task, number, "");
        return 200;
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

    /** Forgets the ends up to last_seen, extends the lease, and waits for an end. */
    private int hold(int life, JsonNode body, ObjectNode answer) {
        long lastSeen = body.path("last_seen").asLong();
        Map<Long, End> seen = mEnds.headMap(lastSeen, true);
        seen.values()
                .forEach(
                        end ->
                                mRecord.event(
                                        "noted", name(), end.task(), end.run(), "end " + end.number()
                                                + " by last_seen " + lastSeen));
        seen.clear();
        if (body.has("deadline_ms")) {
            extendLease(body.path("deadline_ms").asLong());
        }
        long waitEnd = clock() + Math.min(2_000, body.path("wait_ms").asLong(0));
        try {
            while (life == mLife && mEnds.isEmpty() && clock() < waitEnd) {
                wait(Math.max(1, waitEnd - clock()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ArrayNode running = answer.putArray("running");
        for (Run run : mRunning.values()) {
            long percent = Math.min(99, 100 * (clock() - run.startMillis()) / run.workMillis());
            running.addArray().add(run.task()).add(run.number()).add("").add(percent).add(0);
        }
        ArrayNode ended = answer.putArray("ended");
        mEnds.values().stream()
                .limit(MAX_ENDS_PER_ANSWER)
                .forEach(
                        end ->
                                ended.addArray()
                                        .add(end.number())
                                        .add(end.task())
                                        .add(end.run())
                                        .add(end.how())
                                        .add(""));
        return 200;
    }

    private void extendLease(long deadline) {
        mLeaseEnd = Math.max(mLeaseEnd, Math.min(deadline, clock() + MAX_HOLD_MILLIS));
        if (clock() <= mLeaseEnd) {
            mLapsed = false;
        }
    }
}
