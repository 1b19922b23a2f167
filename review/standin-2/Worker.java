import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A worker. The spec of a submission lists the milliseconds that a task of each step takes, such as
 * "4000,500"; 0 stands for a task that lasts until it is stopped.
 */
final class Worker {
    static final int MILLI_CPU = 32_000;
    private static final int MEMORY_MB = 128_000;
    private static final long MAX_HOLD_MS = 10_000;
    private static final long MAX_WAIT_MS = 2_000;
    private static final long REPORT_INTERVAL_MS = 1_500;

    /** Start of a task, and its end: how is null while it runs. */
    static final class Run {
        String worker;
        String task;
        long number;
        long workMs;
        long startedMs;
        long endedMs;
        String how;

        /** True once last_seen has reached the end. */
        boolean noted;
    }

    private record End(long number, Run run) {}

    private final Record record;
    private final String id;
    private final String address;
    private final String agent;
    private final String rack;
    private final HttpServer server;
    private final long born = System.currentTimeMillis();
    private final long bornAt = Record.now();
    private final HttpClient client = Http.client();

    private final Map<String, Run> running = new HashMap<>();
    private final TreeMap<Long, End> ends = new TreeMap<>();
    private final Map<String, Long> highestOver = new HashMap<>();
    private final List<Run> allRuns;
    private long fence;
    private long leaseEnd;
    private long lastEnd;
    private long lastListed;
    private long sequence;

    /** True from the order to hold a renewal back until one is. */
    private boolean holdsBack;

    /** Body of a renewal that has got no answer and has not been carried out yet. */
    private JsonNode heldBack;

    private boolean draining;
    private long drainsUntil;
    private boolean lost;

    /**
     * Starts the worker, which reports the address that its agent calls; all its runs are added to
     * a list that the workers share.
     */
    Worker(
            Record record,
            List<Run> allRuns,
            String id,
            String host,
            int port,
            String address,
            String agent,
            String rack)
            throws IOException {
        this.record = record;
        this.allRuns = allRuns;
        this.id = id;
        this.address = address;
        this.agent = agent;
        this.rack = rack;
        server = Http.serve(host, port, this::handle);
        Thread.ofPlatform().daemon().start(this::reportAndWork);
    }

    String id() {
        return id;
    }

    /**
     * The worker ends as planned: it reports that it drains, goes on for drain_ms and a little
     * longer, sends its notice and ends. Without a confirmation it ends some seconds later.
     */
    void leave(long drainMs, long unconfirmedMs) throws InterruptedException {
        synchronized (this) {
            draining = true;
            drainsUntil = Record.now() + drainMs;
        }
        record.line("worker " + id + " drains");
        Http.Answer answer;
        do {
            ObjectNode report;
            synchronized (this) {
                report = report();
            }
            String url = "http://" + agent + "/api/Instances.Heartbeat/" + id;
            answer = Http.call(Http.client(), "POST", url, "", report.toString(), 1_000);
        } while (answer.status() != 200);
        Thread.sleep(drainMs);
        ObjectNode notice = Http.JSON.createObjectNode().put("born", born);
        record.line("worker " + id + " sends its notice that it leaves");
        String url = "http://" + agent + "/api/Instances.Leave/" + id;
        answer = Http.call(Http.client(), "POST", url, "", notice.toString(), 1_000);
        if (answer.status() == 200) {
            record.line("the notice is confirmed");
        } else {
            record.line("the notice gets no confirmation: " + answer.body());
            Thread.sleep(unconfirmedMs);
        }
        lose();
    }

    /** The next renewal with an acknowledgement gets no answer and is not carried out yet. */
    synchronized void holdNextRenewalBack() {
        holdsBack = true;
    }

    /** Returns the body of the renewal that is held back; null if there is none. */
    synchronized JsonNode heldBack() {
        return heldBack;
    }

    /** Carries out a renewal that came late; its caller has long gone. */
    synchronized void carryOutLate(JsonNode renewal) {
        record.line("worker " + id + " carries a late renewal out: " + renewal);
        if (renewal.path("fencing_token").asLong() >= fence) {
            forgetEnds(renewal.path("last_seen").asLong());
            extendLease(renewal.path("deadline_ms").asLong());
        }
    }

    /** Returns the number of ends that no answer has listed yet. */
    synchronized int unlistedEnds() {
        return ends.tailMap(lastListed, false).size();
    }

    /** The worker is gone, for good or until another life starts, and all that runs on it. */
    void lose() {
        synchronized (this) {
            lost = true;
            for (Run run : List.copyOf(running.values())) {
                run.how = "lost";
                run.endedMs = Record.now();
                record.line("worker " + id + " ends, and with it " + run.task + " run " + run.number);
            }
            running.clear();
        }
        server.stop(0);
    }

    /** The worker's steady clock. */
    private long clock() {
        return 1_000 + Record.now() - bornAt;
    }

    private void reportAndWork() {
        long nextReport = Record.now();
        try {
            while (true) {
                Thread.sleep(5);
                ObjectNode report = null;
                synchronized (this) {
                    if (lost) {
                        return;
                    }
                    advance();
                    if (Record.now() >= nextReport) {
                        nextReport = Record.now() + REPORT_INTERVAL_MS;
                        report = report();
                    }
                }
                if (report != null) {
                    String body = report.toString();
                    String url = "http://" + agent + "/api/Instances.Heartbeat/" + id;
                    Thread.ofPlatform()
                            .daemon()
                            .start(() -> Http.call(client, "POST", url, "", body, 1_000));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ObjectNode report() {
        ObjectNode report = Http.JSON.createObjectNode();
        report.put("service", Fleet.SERVICE).put("address", address).put("zone", "zone");
        report.put("version", "v1").put("slots", 8).put("cold_left_ms", 0);
        report.put("state", draining ? "draining" : "ready");
        if (draining) {
            report.put("drain_remaining_ms", Math.max(0, drainsUntil - Record.now()));
        }
        report.putObject("capacity").put("cpu", MILLI_CPU).put("mem_mb", MEMORY_MB).put("gpu", 0);
        report.putArray("labels").add("a").add(rack);
        report.put("clock_ms", clock()).put("seq", ++sequence).put("born", born);
        return report;
    }

    /** Ends the runs whose work is done, and all if the lease is over. */
    private void advance() {
        for (Run run : List.copyOf(running.values())) {
            if (run.workMs > 0 && Record.now() - run.startedMs >= run.workMs) {
                end(run, "done");
            }
        }
        if (clock() > leaseEnd) {
            for (Run run : List.copyOf(running.values())) {
                end(run, "lapsed");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        run.how = how;
        run.endedMs = Record.now();
        highestOver.merge(run.task, run.number, Math::max);
        ends.put(++lastEnd, new End(lastEnd, run));
        record.line("worker " + id + " ends " + run.task + " run " + run.number + ": " + how);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        JsonNode body = Http.body(exchange);
        ObjectNode answer = Http.JSON.createObjectNode();
        int status;
        synchronized (this) {
            if (lost) {
                exchange.close();
                return;
            }
            if (holdsBack && body.path("last_seen").asLong() > 0) {
                holdsBack = false;
                heldBack = body;
                record.line("worker " + id + " leaves a renewal unanswered: " + body);
                return;
            }
            try {
                status = carryOut(exchange, body, answer);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            answer.put("clock_ms", clock()).put("born", born);
        }
        Http.answer(exchange, status, answer);
    }

    private int carryOut(HttpExchange exchange, JsonNode body, ObjectNode answer)
            throws InterruptedException {
        String expected = exchange.getRequestHeaders().getFirst("X-Knapweedbank-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            return 421;
        }
        if (body.path("fencing_token").asLong(0) < fence) {
            answer.put("reason", "fence");
            return 409;
        }
        fence = body.path("fencing_token").asLong(0);
        advance();
        return switch (exchange.getRequestURI().getPath()) {
            case "/api/run-start" -> start(body, answer);
            case "/api/run-stop" -> stop(body);
            case "/api/hold" -> hold(body, answer);
            case "/api/pace" -> 200;
            default -> 404;
        };
    }

    private int start(JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        long number = body.path("run").asLong();
        long deadline = body.path("deadline_ms").asLong();
        Run present = running.get(task);
        if (present != null && present.number == number) {
            return 200;
        }
        if (clock() > deadline) {
            answer.put("reason", "late");
            return 409;
        }
        extendLease(deadline);
        if (present != null || number <= highestOver.getOrDefault(task, 0L)) {
            answer.put("reason", "old");
            return 409;
        }
        int step = Integer.parseInt(task.split("\\.")[2]);
        Run run = new Run();
        run.worker = id;
        run.task = task;
        run.number = number;
        run.workMs = Long.parseLong(body.path("spec").asText().split(",")[step]);
        run.startedMs = Record.now();
        running.put(task, run);
        synchronized (allRuns) {
            allRuns.add(run);
        }
        record.line("worker " + id + " starts " + task + " run " + number);
        return 200;
    }

    private int stop(JsonNode body) {
        String task = body.path("task").asText();
        long number = body.path("run").asLong();
        Run run = running.get(task);
        if (run != null && run.number == number) {
            end(run, "stopped");
        }
        highestOver.merge(task, number, Math::max);
        return 200;
    }

    private int hold(JsonNode body, ObjectNode answer) throws InterruptedException {
        forgetEnds(body.path("last_seen").asLong());
        if (body.has("deadline_ms")) {
            extendLease(body.path("deadline_ms").asLong());
        }
        long endMs = Record.now() + Math.min(MAX_WAIT_MS, body.path("wait_ms").asLong(0));
        while (ends.isEmpty() && Record.now() < endMs) {
            wait(endMs - Record.now());
        }
        ArrayNode rows = answer.putArray("running");
        for (Run run : running.values()) {
            long done = run.workMs == 0 ? 100 : 100 * (Record.now() - run.startedMs) / run.workMs;
            rows.addArray().add(run.task).add(run.number).add("").add(Math.min(done, 100)).add(0);
        }
        ArrayNode over = answer.putArray("ended");
        for (End end : ends.values()) {
            Run run = end.run();
            lastListed = Math.max(lastListed, end.number());
            over.addArray().add(end.number()).add(run.task).add(run.number).add(run.how).add("");
        }
        return 200;
    }

    private void forgetEnds(long lastSeen) {
        Map<Long, End> seen = ends.headMap(lastSeen, true);
        seen.values().forEach(end -> end.run().noted = true);
        seen.clear();
    }

    private void extendLease(long deadline) {
        leaseEnd = Math.max(leaseEnd, Math.min(deadline, clock() + MAX_HOLD_MS));
    }
}
