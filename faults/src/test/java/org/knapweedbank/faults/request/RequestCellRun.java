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

/**
 * Runs one cell of the request domain: callers, two entries, and three agents with an upstream
 * each.
 */
final class RequestCellRun {
    /** Number of parts of each answer that is not a stream. */
    static final int ANSWER_PARTS = 3;

    /** Number of requests that callers submit, apart from streams and repeats. */
    private static final int REQUEST_COUNT = 60;

    /** Number of streams that are opened at the start. */
    private static final int STREAM_COUNT = 3;

    /** Highest number of repeated submissions of a request. */
    private static final int MAX_REPEATS = 4;

    /**
     * Time within which entries have to stop sending to a leaving upstream and a moved stream has
     * to go on.
     */
    private static final long REACTION_LIMIT_NANOS = Duration.ofSeconds(3).toNanos();

    /** Step at which the faults are injected. */
    private final RequestStep mStep;

    private final List<Fault> mFaults;

    /** Defect to run with, or null. */
    private final RequestMutant mMutant;

    private final Simulation mSimulation;
    private final InMemoryStore mStore;
    private final Map<String, SimRequestEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, StoreClient> mStoreClients = new LinkedHashMap<>();
    private final Map<String, SimRequestAgent> mAgents = new LinkedHashMap<>();
    private final Map<String, Clock> mClocks = new LinkedHashMap<>();

    /** Time at which an agent or its upstream began to leave, by agent name. */
    private final Map<String, Long> mLeavingSinceNanos = new LinkedHashMap<>();

    /** Executions that upstreams have started. */
    private final List<RequestExecution> mExecutions = new ArrayList<>();

    /** Submissions of which the caller was told that they have not run. */
    private final Set<String> mReportedNotRun = new HashSet<>();

    /** Agents whose upstreams fail each request. */
    private final Set<String> mFailingAgents = new HashSet<>();

    /**
     * Interrupted network paths: an agent's name with {@code <} for messages to it and {@code >}
     * for messages from it.
     */
    private final Set<String> mCutPaths = new HashSet<>();

    /** Time at which the caller of a stream last received data. */
    private final Map<Submission, Long> mLastStreamEventNanos = new LinkedHashMap<>();

    /** Fault that affects the next messages. */
    private Fault mMessageFault = Fault.NONE;

    /** Number of messages that the message fault still affects. */
    private int mMessagesToAffect;

    /** Direction of the affected messages: 0 to the agents, 1 to the entries. */
    private int mMessageFaultDirection;

    /** Number of times that the step passes before the faults are injected. */
    private int mOccurrencesToSkip;

    /** Whether the step was reached and the faults have been injected. */
    private boolean mFaultInjected;

    RequestCellRun(RequestStep faultStep, List<Fault> faults, long seed, RequestMutant mutant) {
        mStep = faultStep;
        mFaults = faults;
        mMutant = mutant;
        mSimulation = new Simulation(seed * 1_000 + 500 + faultStep.ordinal());
        mStore = new InMemoryStore(mSimulation.clock(1, 0));
        boolean clocksDrift = faults.contains(Fault.CLOCK_DRIFT);
        for (String name : List.of("agent1", "agent2", "agent3")) {
            mClocks.put(name, mSimulation.clock(clocksDrift ? 0.9951 : 1, 7_000_000_000L));
            startAgent(name);
        }
        for (String name : List.of("entry1", "entry2")) {
            mClocks.put(name, mSimulation.clock(clocksDrift ? 1.0049 : 1, 3_000_000_000L));
            mStoreClients.put(name, mStore.client());
            startEntry(name);
        }
        mOccurrencesToSkip = mSimulation.random().nextInt(4);
        mSimulation.schedule(Duration.ofMillis(10), this::tickStore);
    }

    /** Advances the leases and delays of the store, every 10 ms. */
    private void tickStore() {
        mStore.tick();
        mSimulation.schedule(Duration.ofMillis(10), this::tickStore);
    }

    private void startAgent(String name) {
        mAgents.put(name, new SimRequestAgent(this, name, mClocks.get(name)));
    }

    private void startEntry(String name) {
        SimRequestEntry entry =
                new SimRequestEntry(this, name, mClocks.get(name), mStoreClients.get(name));
        mEntries.put(name, entry);
        mAgents.values()
                .forEach(
                        agent -> {
                            boolean leaving = mLeavingSinceNanos.containsKey(agent.name());
                            entry.pool().setLeaving(agent.name(), leaving);
                        });
    }

    Simulation simulation() {
        return mSimulation;
    }

    /** Returns the defect to run with, or null. */
    RequestMutant mutant() {
        return mMutant;
    }

    /** Returns the current incarnations of the agents. */
    Collection<SimRequestAgent> agents() {
        return mAgents.values();
    }

    /** Returns whether the upstream of an agent fails each request. */
    boolean isFailing(String agent) {
        return mFailingAgents.contains(agent);
    }

    /** Returns whether messages to or from an agent are lost. */
    boolean isPathCut(String agent, boolean toAgent) {
        return mCutPaths.contains(agent + (toAgent ? "<" : ">"));
    }

    /** Returns the fault that affects the next message in a direction, or {@link Fault#NONE}. */
    Fault nextMessageFault(int direction) {
        if (mMessagesToAffect == 0 || direction != mMessageFaultDirection) {
            return Fault.NONE;
        }
        mMessagesToAffect--;
        return mMessageFault;
    }

    /** Returns a part of the answer to a submission. */
    static String answerPart(String submission, int partIndex) {
        return partIndex + ":" + submission + ";";
    }

    /** Returns an event of a stream. */
    static String streamEvent(int eventId) {
        return "id:" + eventId + "\n";
    }

    /** Returns the id of the last complete event of a stream body, or 0. */
    static int lastEventId(String body) {
        String[] events = body.split("\n");
        String lastEvent = events[events.length - 1];
        return lastEvent.startsWith("id:") ? Integer.parseInt(lastEvent.substring(3)) : 0;
    }

    // Events that the simulated processes report

    /**
     * Injects the faults when the step of the cell is reached often enough.
     *
     * @param submission the submission at the step, or null; not used
     */
    void reachStep(RequestStep step, Submission submission) {
        if (step != mStep || mFaultInjected || mOccurrencesToSkip-- > 0) {
            return;
        }
        mFaultInjected = true;
        for (Fault fault : mFaults) {
            mSimulation.trace("FAULT", fault + " at " + step);
            injectFault(fault);
        }
    }

    /** Tells each entry after up to 1 s whether the upstream of an agent leaves. */
    void propagateUpstreamState(SimRequestAgent agent, boolean leaving) {
        mEntries.keySet()
                .forEach(
                        name ->
                                mSimulation.schedule(
                                        Duration.ofMillis(5 + mSimulation.random().nextInt(1_000)),
                                        () ->
                                                mEntries.get(name)
                                                        .pool()
                                                        .setLeaving(agent.name(), leaving)));
    }

    /**
     * Records that an upstream starts a submission, and checks that the submission may run.
     *
     * @param agent name of the agent
     * @param simAgent the agent; not used
     */
    RequestExecution recordStart(String submission, String agent, SimRequestAgent simAgent) {
        mSimulation.trace(agent, "runs " + submission);
        RequestExecution execution = new RequestExecution(submission, agent);
        String requestName = submission.substring(0, submission.indexOf('.'));
        boolean runsAtMostOnce = submission.startsWith("POST") || submission.startsWith("KEYED");
        for (RequestExecution other : mExecutions) {
            if (runsAtMostOnce && other.mSubmission.startsWith(requestName + ".")) {
                mSimulation.recordViolation(7, submission + " runs after " + other.mSubmission);
            }
        }
        if (mReportedNotRun.contains(submission)) {
            mSimulation.recordViolation(6, submission + " runs after its refusal as not run");
        }
        Long leavingSinceNanos = mLeavingSinceNanos.get(agent);
        if (leavingSinceNanos != null
                && mSimulation.nowNanos() - leavingSinceNanos > REACTION_LIMIT_NANOS) {
            mSimulation.recordViolation(8, submission + " runs at " + agent + ", which is leaving");
        }
        mExecutions.add(execution);
        reachStep(RequestStep.RUNNING, null);
        return execution;
    }

    /** Records that the agent has cancelled an execution. */
    void recordCancellation(RequestExecution execution, boolean stream) {
        mSimulation.trace(execution.mUpstream, execution.mSubmission + " is cancelled");
        // GET requests are hedged. Cancelling the attempt that is not needed does no harm.
        boolean mayBeHedged = execution.mSubmission.startsWith("GET");
        if (isFaultFree() && !stream && !mayBeHedged) {
            mSimulation.recordViolation(
                    9, execution.mSubmission + " is cancelled by a planned stop");
        }
    }

    /** Returns whether the cell runs without a fault, so that nothing may be interrupted. */
    private boolean isFaultFree() {
        return mFaults.equals(List.of(Fault.NONE));
    }

    /** Records that a stream has received data, and checks that its events are in sequence. */
    void recordAnswerBytes(Submission submission, String body) {
        if (submission.kind() != RequestKind.STREAM) {
            return;
        }
        mLastStreamEventNanos.put(submission, mSimulation.nowNanos());
        StringBuilder expected = new StringBuilder();
        for (int i = 1; i <= lastEventId(body); i++) {
            expected.append(streamEvent(i));
        }
        if (!expected.toString().equals(body)) {
            mSimulation.recordViolation(5, submission + " got events out of sequence");
        }
    }

    /**
     * Checks a complete answer, and repeats every second keyed request to test the replay of its
     * answer.
     */
    void recordAnswer(Submission submission, String body) {
        mSimulation.trace("caller", submission + " is answered");
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < ANSWER_PARTS; i++) {
            expected.append(answerPart(submission.kind() + "-" + submission.requestIndex(), i));
        }
        String receivedParts = body.replaceAll("\\.\\d+;", ";");
        boolean matchesSubmission =
                submission.kind() == RequestKind.KEYED || body.contains(submission + ";");
        if (submission.kind() != RequestKind.STREAM
                && (!receivedParts.contentEquals(expected) || !matchesSubmission)) {
            mSimulation.recordViolation(5, submission + " got " + body);
        }
        if (submission.kind() == RequestKind.KEYED && submission.requestIndex() % 2 == 0) {
            scheduleRepeat(submission, Duration.ofMillis(50));
        }
    }

    /** Records that an answer was aborted after its head. */
    void recordAbort(Submission submission, String reason) {
        mSimulation.trace("caller", submission + " is aborted: " + reason);
        if (isFaultFree()) {
            mSimulation.recordViolation(9, submission + " is broken off: " + reason);
        }
    }

    /**
     * Records that a submission was refused, checks the stated outcome, and repeats the submission
     * if a caller may.
     *
     * @param entry name of the entry; not used
     */
    void recordRefusal(Submission submission, RequestOutcome outcome, String entry) {
        mSimulation.trace("caller", submission + " is refused: " + outcome);
        if (outcome instanceof RequestOutcome.NotRun) {
            mReportedNotRun.add(submission.toString());
            mExecutions.stream()
                    .filter(execution -> execution.mSubmission.equals(submission.toString()))
                    .forEach(
                            execution ->
                                    mSimulation.recordViolation(
                                            6, submission + " has run, says " + outcome));
            scheduleRepeat(submission, Duration.ofMillis(200));
        } else {
            if (isFaultFree() && submission.repeatIndex() == 0) {
                mSimulation.recordViolation(9, submission + " has no answer: " + outcome);
            }
            if (submission.kind() == RequestKind.KEYED) {
                scheduleRepeat(submission, Duration.ofMillis(200));
            }
        }
    }

    /**
     * Submits a request again after a delay, up to the limit of repeats. Streams are not repeated.
     */
    private void scheduleRepeat(Submission submission, Duration delay) {
        if (submission.repeatIndex() < MAX_REPEATS && submission.kind() != RequestKind.STREAM) {
            mSimulation.schedule(delay, () -> submit(submission.nextRepeat()));
        }
    }

    /** Submits a request to a random entry. */
    private void submit(Submission submission) {
        mSimulation.trace("caller", "submits " + submission);
        String entryName = mSimulation.random().nextBoolean() ? "entry1" : "entry2";
        mEntries.get(entryName).process().execute(() -> mEntries.get(entryName).submit(submission));
    }

    // Planned leave and faults

    /** Lets an upstream leave, or stops its agent as planned; selects one that has run a stream. */
    private void beginPlannedLeave() {
        String agent =
                mExecutions.stream()
                        .filter(execution -> execution.mSubmission.startsWith("STREAM"))
                        .map(execution -> execution.mUpstream)
                        .findFirst()
                        .orElse("agent1");
        boolean stopsAgent =
                mStep == RequestStep.AGENT_STOPPING || mSimulation.random().nextBoolean();
        mSimulation.trace(agent, stopsAgent ? "stops" : "upstream leaves");
        mLeavingSinceNanos.put(agent, mSimulation.nowNanos());
        reachStep(RequestStep.UPSTREAM_LEAVING, null);
        reachStep(RequestStep.AGENT_STOPPING, null);
        if (stopsAgent) {
            mAgents.get(agent).stop();
        } else {
            mAgents.get(agent).leave();
        }
    }

    /** Kills an agent, and restarts it after a delay if requested. */
    void killAgent(String name, boolean restart) {
        SimRequestAgent agent = mAgents.get(name);
        if (!restart && agent.process().isAlive() && isFaultFree()) {
            mExecutions.stream()
                    .filter(
                            execution ->
                                    execution.mUpstream.equals(name)
                                            && !execution.mCompleted
                                            && !execution.mCancelled)
                    .filter(execution -> !execution.mSubmission.startsWith("STREAM"))
                    .forEach(
                            execution ->
                                    mSimulation.recordViolation(
                                            9, execution.mSubmission + " is interrupted"));
        }
        agent.process().kill();
        mEntries.values().forEach(entry -> entry.closeConnection(name));
        if (restart) {
            mSimulation.schedule(
                    Duration.ofMillis(pickRandom(500, 3_000)),
                    () -> {
                        mLeavingSinceNanos.remove(name);
                        startAgent(name);
                    });
        }
    }

    /** Returns one of the values at random. */
    private int pickRandom(int... values) {
        return values[mSimulation.random().nextInt(values.length)];
    }

    /** Injects a fault into a random entry or agent for a random time. */
    private void injectFault(Fault fault) {
        String agent = "agent" + (1 + mSimulation.random().nextInt(3));
        String entry = "entry" + (1 + mSimulation.random().nextInt(2));
        boolean atEntry = mSimulation.random().nextBoolean();
        Duration outage = Duration.ofMillis(pickRandom(300, 1_500, 5_000, 12_000));
        switch (fault) {
            case NONE, CLOCK_DRIFT, OPERATORS_RACE -> {}
            case PROCESS_KILLED -> {
                if (atEntry) {
                    mEntries.get(entry).kill();
                    mSimulation.schedule(Duration.ofMillis(700), () -> startEntry(entry));
                    mEntries.get(entry).exchanges().stream()
                            .map(SimExchange::submission)
                            .filter(submission -> submission.kind() == RequestKind.KEYED)
                            .forEach(
                                    submission ->
                                            scheduleRepeat(submission, Duration.ofSeconds(1)));
                } else {
                    killAgent(agent, true);
                }
            }
            case PROCESS_PAUSED ->
                    (atEntry ? mEntries.get(entry).process() : mAgents.get(agent).process())
                            .pause(outage);
            case STORE_DOWN -> applyToStoreClients(outage, client -> client.faults().down(true));
            case STORE_SLOW -> {
                Duration delay = Duration.ofMillis(pickRandom(100, 1_000, 5_000));
                applyToStoreClients(outage, client -> client.faults().slow(delay));
            }
            case ANSWER_LOST -> {
                AnswerLoss loss = AnswerLoss.values()[mSimulation.random().nextInt(2)];
                int count = pickRandom(1, 2, 5);
                mStoreClients
                        .values()
                        .forEach(
                                client ->
                                        client.faults()
                                                .loseAnswers(StoreCallKind.WRITE, loss, count));
            }
            case MESSAGE_LOST, MESSAGE_DOUBLED, MESSAGE_LATE, MESSAGES_REORDERED -> {
                mMessageFault = fault;
                mMessagesToAffect = pickRandom(1, 4, 20, 60);
                mMessageFaultDirection = mSimulation.random().nextInt(2);
            }
            case NETWORK_CUT_ONE_WAY -> cutPath(outage, agent + (atEntry ? "<" : ">"));
            case NETWORK_CUT -> {
                cutPath(outage, agent + "<");
                cutPath(outage, agent + ">");
            }
            case VM_GONE -> killAgent(agent, false);
            case WORKER_FAILS_EVERYTHING -> {
                mFailingAgents.add(agent);
                mSimulation.schedule(outage, () -> mFailingAgents.remove(agent));
            }
            case CANCELLATION -> mEntries.values().forEach(RequestCellRun::disconnectCallers);
        }
    }

    /** Reports to all exchanges of an entry that their callers have disconnected. */
    private static void disconnectCallers(SimRequestEntry entry) {
        entry.exchanges()
                .forEach(
                        exchange ->
                                entry.process()
                                        .execute(
                                                () ->
                                                        exchange.apply(
                                                                new PlanEvent
                                                                        .CallerDisconnected())));
    }

    /** Applies a store fault to all store clients and clears it after the outage. */
    private void applyToStoreClients(
            Duration outage, java.util.function.Consumer<StoreClient> fault) {
        mStoreClients.values().forEach(fault);
        mSimulation.schedule(
                outage, () -> mStoreClients.values().forEach(client -> client.faults().clear()));
    }

    /** Loses all messages on a path during the outage. */
    private void cutPath(Duration outage, String path) {
        mCutPaths.add(path);
        mSimulation.schedule(outage, () -> mCutPaths.remove(path));
    }

    /** Runs the cell to its end and returns its outcome. */
    CellOutcome run() {
        mSimulation.runFor(Duration.ofMillis(500));
        for (int i = 0; i < STREAM_COUNT; i++) {
            submit(new Submission(RequestKind.STREAM, i, 0));
        }
        RequestKind[] kinds = {RequestKind.GET, RequestKind.POST, RequestKind.KEYED};
        for (int i = 0; i < REQUEST_COUNT; i++) {
            mSimulation.runFor(Duration.ofMillis(80));
            submit(new Submission(kinds[i % kinds.length], i, 0));
            boolean includesLeave =
                    mStep == RequestStep.UPSTREAM_LEAVING
                            || mStep == RequestStep.STREAM_MOVED
                            || mStep == RequestStep.AGENT_STOPPING;
            if (i == REQUEST_COUNT / 3 && includesLeave) {
                mOccurrencesToSkip = 0;
                beginPlannedLeave();
            }
        }
        mSimulation.runFor(Duration.ofSeconds(20));
        if (isFaultFree()) {
            mLastStreamEventNanos.forEach(
                    (stream, lastEventNanos) -> {
                        if (mSimulation.nowNanos() - lastEventNanos > REACTION_LIMIT_NANOS) {
                            mSimulation.recordViolation(9, stream + " has ended");
                        }
                    });
        }
        return new CellOutcome(mFaultInjected, mSimulation);
    }
}
