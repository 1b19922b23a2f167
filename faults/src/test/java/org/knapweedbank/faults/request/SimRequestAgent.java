package org.knapweedbank.faults.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.knapweedbank.agent.RequestTestDriver;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.Request;

/**
 * One incarnation of an agent with a simulated upstream, which reports each execution to the cell.
 */
final class SimRequestAgent {
    /** Interval of the steps of the request duty. */
    private static final Duration STEP_INTERVAL = Duration.ofMillis(50);

    /** Number of requests that the upstream accepts at the same time. */
    private static final int SLOTS = 2;

    private final RequestCellRun mCellRun;
    private final Simulation mSimulation;
    private final String mName;
    private final SimProcess mProcess;
    private final RequestTestDriver mDriver;

    /** Whether the upstream has been told to leave. */
    private boolean mLeaving;

    /** Whether the agent performs its planned stop; it then renews no announcement. */
    private boolean mStopping;

    SimRequestAgent(RequestCellRun cellRun, String name, Clock clock) {
        mCellRun = cellRun;
        mSimulation = cellRun.simulation();
        mName = name;
        mProcess = new SimProcess(mSimulation, name);
        mDriver =
                new RequestTestDriver(
                        clock,
                        this::startCall,
                        state ->
                                cellRun.propagateUpstreamState(
                                        this, state.leaving() || state.gone()));
        mProcess.scheduleRepeating(STEP_INTERVAL, mDriver::step);
        announce();
    }

    /** Returns the name that all incarnations of the agent share. */
    String name() {
        return mName;
    }

    /** Returns the process that the agent runs in. */
    SimProcess process() {
        return mProcess;
    }

    /** Returns the request duty of the agent. */
    RequestTestDriver driver() {
        return mDriver;
    }

    /** Announces the upstream, and again every 2 s until the agent stops. */
    private void announce() {
        boolean reportsLeaving = mCellRun.mutant() != RequestMutant.LEAVING_IGNORED;
        mProcess.execute(() -> mDriver.announce(mName + ":80", SLOTS, mLeaving && reportsLeaving));
        if (mProcess.isAlive() && !mStopping) {
            mSimulation.schedule(Duration.ofSeconds(2), this::announce);
        }
    }

    /** Announces that the upstream leaves. */
    void leave() {
        mLeaving = true;
        boolean reportsLeaving = mCellRun.mutant() != RequestMutant.LEAVING_IGNORED;
        mProcess.execute(() -> mDriver.announce(mName + ":80", SLOTS, reportsLeaving));
    }

    /**
     * Begins the planned stop: the agent accepts no new requests, moves its streams and exits when
     * idle.
     */
    void stop() {
        mStopping = true;
        mProcess.execute(
                () -> {
                    mDriver.stop();
                    exitWhenIdle();
                });
    }

    /** Ends the process once no request is in progress. */
    private void exitWhenIdle() {
        boolean exitsAtOnce = mCellRun.mutant() == RequestMutant.REQUESTS_CUT_AT_STOP;
        if (mDriver.isIdle() || exitsAtOnce) {
            mCellRun.killAgent(mName, false);
        } else if (mProcess.isAlive()) {
            mSimulation.schedule(STEP_INTERVAL, () -> mProcess.execute(this::exitWhenIdle));
        }
    }

    /** Runs a request at the upstream and returns an action that cancels it. */
    private Runnable startCall(String address, Request request, RequestTestDriver.Answer answer) {
        RequestExecution execution = mCellRun.recordStart(request.path().substring(1), mName, this);
        boolean connectionFails = mCellRun.isFailing(mName);
        long delayMillis = 40 + mSimulation.random().nextInt(160);
        mSimulation.schedule(
                Duration.ofMillis(delayMillis),
                () -> {
                    if (connectionFails) {
                        execution.mCompleted = true;
                        sendWhileActive(execution, () -> answer.failed(true, "connection broke"));
                    } else if (request.stream()) {
                        sendHead(execution, answer, "text/event-stream");
                        int lastEventId = Integer.parseInt(request.headers().getFirst().value());
                        sendStreamEvents(execution, answer, lastEventId + 1);
                    } else {
                        sendHead(execution, answer, "text/plain");
                        sendBodyFrom(execution, answer, request.path().substring(1), 0);
                    }
                });
        return () -> {
            if (!execution.mCompleted) {
                execution.mCancelled = true;
                mCellRun.recordCancellation(execution, request.stream());
            }
        };
    }

    /**
     * Delivers an event of the upstream to the agent, unless the agent has ended or cancelled the
     * execution.
     */
    private void sendWhileActive(RequestExecution execution, Runnable event) {
        mProcess.execute(
                () -> {
                    if (!execution.mCancelled) {
                        event.run();
                    }
                });
    }

    /** Sends the head of an answer. */
    private void sendHead(
            RequestExecution execution, RequestTestDriver.Answer answer, String contentType) {
        mCellRun.reachStep(RequestStep.ANSWERING, null);
        sendWhileActive(
                execution,
                () -> answer.head(200, List.of(new HeaderField("Content-Type", contentType))));
    }

    /** Sends the part with an index and the parts after it, then ends the answer. */
    private void sendBodyFrom(
            RequestExecution execution,
            RequestTestDriver.Answer answer,
            String submission,
            int partIndex) {
        if (partIndex == RequestCellRun.ANSWER_PARTS) {
            execution.mCompleted = true;
            sendWhileActive(execution, answer::end);
            return;
        }
        byte[] bytes =
                RequestCellRun.answerPart(submission, partIndex).getBytes(StandardCharsets.UTF_8);
        sendWhileActive(execution, () -> answer.bytes(bytes));
        mSimulation.schedule(
                Duration.ofMillis(mSimulation.random().nextInt(30)),
                () -> sendBodyFrom(execution, answer, submission, partIndex + 1));
    }

    /**
     * Sends the event with an id and the events after it, one every 300 ms, until the stream is
     * cancelled.
     */
    private void sendStreamEvents(
            RequestExecution execution, RequestTestDriver.Answer answer, int eventId) {
        if (execution.mCancelled || !mProcess.isAlive()) {
            return;
        }
        byte[] bytes = RequestCellRun.streamEvent(eventId).getBytes(StandardCharsets.UTF_8);
        sendWhileActive(execution, () -> answer.bytes(bytes));
        mCellRun.reachStep(RequestStep.STREAM_RUNNING, null);
        mSimulation.schedule(
                Duration.ofMillis(300), () -> sendStreamEvents(execution, answer, eventId + 1));
    }
}
