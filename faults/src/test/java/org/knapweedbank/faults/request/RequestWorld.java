package org.knapweedbank.faults.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedbank.faults.CellOutcome;
import org.knapweedbank.faults.Fault;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.model.RequestOutcome;
import org.knapweedbank.routing.PlanEvent;
import org.knapweedbank.standin.AnswerLoss;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.standin.StoreCallKind;
import org.knapweedbank.standin.StoreClient;
import org.knapweedbank.time.Clock;

/** One cell of the request domain: callers, two entries, three agents with an upstream each. */
final class RequestWorld {
    static final int PARTS = 3;
    private static final int REQUESTS = 60;
    private static final int STREAMS = 3;
    private static final int REPEATS = 4;
    private static final long BOUND_NANOS = Duration.ofSeconds(3).toNanos();

    private final RequestStep mStep;
    private final List<Fault> mFaults;
    private final RequestMutant mMutant;
    private final Simulation mSimulation;
    private final InMemoryStore mStore;
    private final Map<String, SimRequestEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, StoreClient> mClients = new LinkedHashMap<>();
    private final Map<String, SimRequestAgent> mAgents = new LinkedHashMap<>();
    private final Map<String, Clock> mClocks = new LinkedHashMap<>();
    private final Map<String, Long> mLeftAt = new LinkedHashMap<>();
    private final List<RequestRun> mRuns = new ArrayList<>();
    private final Set<String> mNotRun = new HashSet<>();
    private final Set<String> mFailing = new HashSet<>();
    private final Set<String> mCuts = new HashSet<>();
    private final Map<Submission, Long> mStreamHeard = new LinkedHashMap<>();
    private Fault mMessageFault = Fault.NONE;
    private int mMessages;
    private int mDirection;
    private int mFireAt;
    private boolean mFired;

    RequestWorld(RequestStep step, List<Fault> faults, long seed, RequestMutant mutant) {
        mStep = step;
        mFaults = faults;
        mMutant = mutant;
        mSimulation = new Simulation(seed * 1_000 + 500 + step.ordinal());
        mStore = new InMemoryStore(mSimulation.clock(1, 0));
        boolean drift = faults.contains(Fault.CLOCK_DRIFT);
        for (String name : List.of("agent1", "agent2", "agent3")) {
            mClocks.put(name, mSimulation.clock(drift ? 0.9951 : 1, 7_000_000_000L));
            startAgent(name);
        }
        for (String name : List.of("entry1", "entry2")) {
            mClocks.put(name, mSimulation.clock(drift ? 1.0049 : 1, 3_000_000_000L));
            mClients.put(name, mStore.client());
            startEntry(name);
        }
        mFireAt = mSimulation.random().nextInt(4);
        mSimulation.after(Duration.ofMillis(10), this::tickStore);
    }

    private void tickStore() {
        mStore.tick();
        mSimulation.after(Duration.ofMillis(10), this::tickStore);
    }

    private void startAgent(String name) {
        mAgents.put(name, new SimRequestAgent(this, name, mClocks.get(name)));
    }

    private void startEntry(String name) {
        SimRequestEntry entry =
                new SimRequestEntry(this, name, mClocks.get(name), mClients.get(name));
        mEntries.put(name, entry);
        mAgents.values()
                .forEach(
                        agent -> {
                            boolean away = mLeftAt.containsKey(agent.name());
                            entry.pool().changed(agent.name(), away);
                        });
    }

    Simulation simulation() {
        return mSimulation;
    }

    RequestMutant mutant() {
        return mMutant;
    }

    Collection<SimRequestAgent> agents() {
        return mAgents.values();
    }

    boolean failsEverything(String agent) {
        return mFailing.contains(agent);
    }

    boolean isCut(String agent, boolean toAgent) {
        return mCuts.contains(agent + (toAgent ? "<" : ">"));
    }

    Fault takeMessageFault(int direction) {
        if (mMessages == 0 || direction != mDirection) {
            return Fault.NONE;
        }
        mMessages--;
        return mMessageFault;
    }

    static String part(String submission, int part) {
        return part + ":" + submission + ";";
    }

    static String event(int number) {
        return "id:" + number + "\n";
    }

    static int lastEvent(String body) {
        String[] events = body.split("\n");
        String last = events[events.length - 1];
        return last.startsWith("id:") ? Integer.parseInt(last.substring(3)) : 0;
    }

    // Events

    void step(RequestStep step, Submission submission) {
        if (step != mStep || mFired || mFireAt-- > 0) {
            return;
        }
        mFired = true;
        for (Fault fault : mFaults) {
            mSimulation.trace("FAULT", fault + " at " + step);
            apply(fault);
        }
    }

    void upstreamChanged(SimRequestAgent agent, boolean away) {
        mEntries.keySet()
                .forEach(
                        name ->
                                mSimulation.after(
                                        Duration.ofMillis(5 + mSimulation.random().nextInt(1_000)),
                                        () ->
                                                mEntries.get(name)
                                                        .pool()
                                                        .changed(agent.name(), away)));
    }

    RequestRun started(String submission, String agent, SimRequestAgent at) {
        mSimulation.trace(agent, "runs " + submission);
        RequestRun run = new RequestRun(submission, agent);
        String request = submission.substring(0, submission.indexOf('.'));
        boolean once = submission.startsWith("POST") || submission.startsWith("KEYED");
        for (RequestRun other : mRuns) {
            if (once && other.mSubmission.startsWith(request + ".")) {
                mSimulation.violate(7, submission + " runs after " + other.mSubmission);
            }
        }
        if (mNotRun.contains(submission)) {
            mSimulation.violate(6, submission + " runs after its refusal as not run");
        }
        Long left = mLeftAt.get(agent);
        if (left != null && mSimulation.now() - left > BOUND_NANOS) {
            mSimulation.violate(8, submission + " runs at " + agent + ", which is leaving");
        }
        mRuns.add(run);
        step(RequestStep.RUNNING, null);
        return run;
    }

    void cancelled(RequestRun run, boolean stream) {
        mSimulation.trace(run.mUpstream, run.mSubmission + " is cancelled");
        // A hedge that loses is cancelled, which harms nobody.
        boolean hedge = run.mSubmission.startsWith("GET");
        if (planned() && !stream && !hedge) {
            mSimulation.violate(9, run.mSubmission + " is cancelled by a planned stop");
        }
    }

    /** True in a cell without a fault, in which nothing may be interrupted. */
    private boolean planned() {
        return mFaults.equals(List.of(Fault.NONE));
    }

    void received(Submission submission, String body) {
        if (submission.kind() != Kind.STREAM) {
            return;
        }
        mStreamHeard.put(submission, mSimulation.now());
        StringBuilder expected = new StringBuilder();
        for (int i = 1; i <= lastEvent(body); i++) {
            expected.append(event(i));
        }
        if (!expected.toString().equals(body)) {
            mSimulation.violate(5, submission + " got events out of sequence");
        }
    }

    void answered(Submission submission, String body) {
        mSimulation.trace("caller", submission + " is answered");
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < PARTS; i++) {
            expected.append(part(submission.kind() + "-" + submission.request(), i));
        }
        String got = body.replaceAll("\\.\\d+;", ";");
        boolean own = submission.kind() == Kind.KEYED || body.contains(submission + ";");
        if (submission.kind() != Kind.STREAM && (!got.contentEquals(expected) || !own)) {
            mSimulation.violate(5, submission + " got " + body);
        }
        if (submission.kind() == Kind.KEYED && submission.request() % 2 == 0) {
            repeat(submission, Duration.ofMillis(50));
        }
    }

    void aborted(Submission submission, String reason) {
        mSimulation.trace("caller", submission + " is broken off: " + reason);
        if (planned()) {
            mSimulation.violate(9, submission + " is broken off: " + reason);
        }
    }

    void refused(Submission submission, RequestOutcome outcome, String entry) {
        mSimulation.trace("caller", submission + " is refused: " + outcome);
        if (outcome instanceof RequestOutcome.NotRun) {
            mNotRun.add(submission.toString());
            mRuns.stream()
                    .filter(run -> run.mSubmission.equals(submission.toString()))
                    .forEach(
                            run ->
                                    mSimulation.violate(
                                            6, submission + " has run, says " + outcome));
            repeat(submission, Duration.ofMillis(200));
        } else {
            if (planned() && submission.repeat() == 0) {
                mSimulation.violate(9, submission + " has no answer: " + outcome);
            }
            if (submission.kind() == Kind.KEYED) {
                repeat(submission, Duration.ofMillis(200));
            }
        }
    }

    private void repeat(Submission submission, Duration delay) {
        if (submission.repeat() < REPEATS && submission.kind() != Kind.STREAM) {
            mSimulation.after(delay, () -> submit(submission.next()));
        }
    }

    private void submit(Submission submission) {
        mSimulation.trace("caller", "submits " + submission);
        String name = mSimulation.random().nextBoolean() ? "entry1" : "entry2";
        mEntries.get(name).process().execute(() -> mEntries.get(name).submit(submission));
    }

    // Scenario and faults

    private void leave() {
        String agent =
                mRuns.stream()
                        .filter(run -> run.mSubmission.startsWith("STREAM"))
                        .map(run -> run.mUpstream)
                        .findFirst()
                        .orElse("agent1");
        boolean stops = mStep == RequestStep.AGENT_STOPPING || mSimulation.random().nextBoolean();
        mSimulation.trace(agent, stops ? "stops" : "upstream leaves");
        mLeftAt.put(agent, mSimulation.now());
        step(RequestStep.UPSTREAM_LEAVING, null);
        step(RequestStep.AGENT_STOPPING, null);
        if (stops) {
            mAgents.get(agent).stop();
        } else {
            mAgents.get(agent).leave();
        }
    }

    void killAgent(String name, boolean restart) {
        SimRequestAgent agent = mAgents.get(name);
        if (!restart && agent.process().alive() && planned()) {
            mRuns.stream()
                    .filter(run -> run.mUpstream.equals(name) && !run.mDone && !run.mCancelled)
                    .filter(run -> !run.mSubmission.startsWith("STREAM"))
                    .forEach(run -> mSimulation.violate(9, run.mSubmission + " is interrupted"));
        }
        agent.process().kill();
        mEntries.values().forEach(entry -> entry.agentGone(name));
        if (restart) {
            mSimulation.after(
                    Duration.ofMillis(pick(500, 3_000)),
                    () -> {
                        mLeftAt.remove(name);
                        startAgent(name);
                    });
        }
    }

    private int pick(int... values) {
        return values[mSimulation.random().nextInt(values.length)];
    }

    private void apply(Fault fault) {
        String agent = "agent" + (1 + mSimulation.random().nextInt(3));
        String entry = "entry" + (1 + mSimulation.random().nextInt(2));
        boolean atEntry = mSimulation.random().nextBoolean();
        Duration outage = Duration.ofMillis(pick(300, 1_500, 5_000, 12_000));
        switch (fault) {
            case NONE, CLOCK_DRIFT, OPERATORS_RACE -> {}
            case PROCESS_KILLED -> {
                if (atEntry) {
                    mEntries.get(entry).kill();
                    mSimulation.after(Duration.ofMillis(700), () -> startEntry(entry));
                    mEntries.get(entry).exchanges().stream()
                            .map(SimExchange::submission)
                            .filter(submission -> submission.kind() == Kind.KEYED)
                            .forEach(submission -> repeat(submission, Duration.ofSeconds(1)));
                } else {
                    killAgent(agent, true);
                }
            }
            case PROCESS_PAUSED ->
                    (atEntry ? mEntries.get(entry).process() : mAgents.get(agent).process())
                            .pause(outage);
            case STORE_DOWN -> forClients(outage, client -> client.faults().down(true));
            case STORE_SLOW -> {
                Duration delay = Duration.ofMillis(pick(100, 1_000, 5_000));
                forClients(outage, client -> client.faults().slow(delay));
            }
            case ANSWER_LOST -> {
                AnswerLoss point = AnswerLoss.values()[mSimulation.random().nextInt(2)];
                int count = pick(1, 2, 5);
                mClients.values()
                        .forEach(
                                client ->
                                        client.faults()
                                                .loseAnswers(StoreCallKind.WRITE, point, count));
            }
            case MESSAGE_LOST, MESSAGE_DOUBLED, MESSAGE_LATE, MESSAGES_REORDERED -> {
                mMessageFault = fault;
                mMessages = pick(1, 4, 20, 60);
                mDirection = mSimulation.random().nextInt(2);
            }
            case NETWORK_CUT_ONE_WAY -> cut(outage, agent + (atEntry ? "<" : ">"));
            case NETWORK_CUT -> {
                cut(outage, agent + "<");
                cut(outage, agent + ">");
            }
            case VM_GONE -> killAgent(agent, false);
            case WORKER_FAILS_EVERYTHING -> {
                mFailing.add(agent);
                mSimulation.after(outage, () -> mFailing.remove(agent));
            }
            case CANCELLATION -> mEntries.values().forEach(RequestWorld::callersGo);
        }
    }

    private static void callersGo(SimRequestEntry entry) {
        entry.exchanges()
                .forEach(
                        exchange ->
                                entry.process()
                                        .execute(() -> exchange.apply(new PlanEvent.CallerGone())));
    }

    private void forClients(Duration outage, java.util.function.Consumer<StoreClient> fault) {
        mClients.values().forEach(fault);
        mSimulation.after(
                outage, () -> mClients.values().forEach(client -> client.faults().clear()));
    }

    private void cut(Duration outage, String path) {
        mCuts.add(path);
        mSimulation.after(outage, () -> mCuts.remove(path));
    }

    CellOutcome run() {
        mSimulation.run(Duration.ofMillis(500));
        for (int i = 0; i < STREAMS; i++) {
            submit(new Submission(Kind.STREAM, i, 0));
        }
        Kind[] kinds = {Kind.GET, Kind.POST, Kind.KEYED};
        for (int i = 0; i < REQUESTS; i++) {
            mSimulation.run(Duration.ofMillis(80));
            submit(new Submission(kinds[i % kinds.length], i, 0));
            boolean leaves =
                    mStep == RequestStep.UPSTREAM_LEAVING
                            || mStep == RequestStep.STREAM_MOVED
                            || mStep == RequestStep.AGENT_STOPPING;
            if (i == REQUESTS / 3 && leaves) {
                mFireAt = 0;
                leave();
            }
        }
        mSimulation.run(Duration.ofSeconds(20));
        if (planned()) {
            mStreamHeard.forEach(
                    (stream, at) -> {
                        if (mSimulation.now() - at > BOUND_NANOS) {
                            mSimulation.violate(9, stream + " has ended");
                        }
                    });
        }
        return new CellOutcome(mFired, mSimulation);
    }
}
