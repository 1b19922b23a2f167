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

/** One incarnation of an agent with the upstream beside it, which records what it runs. */
final class SimRequestAgent {
    private static final Duration STEP_INTERVAL = Duration.ofMillis(50);
    private static final int SLOTS = 2;

    private final RequestCellRun mCellRun;
    private final Simulation mSimulation;
    private final String mName;
    private final SimProcess mProcess;
    private final RequestTestDriver mDriver;
    private boolean mLeaving;
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

    String name() {
        return mName;
    }

    SimProcess process() {
        return mProcess;
    }

    RequestTestDriver driver() {
        return mDriver;
    }

    private void announce() {
        boolean reportsLeaving = mCellRun.mutant() != RequestMutant.LEAVING_IGNORED;
        mProcess.execute(() -> mDriver.announce(mName + ":80", SLOTS, mLeaving && reportsLeaving));
        if (mProcess.isAlive() && !mStopping) {
            mSimulation.schedule(Duration.ofSeconds(2), this::announce);
        }
    }

    /** The upstream announces that it leaves. */
    void leave() {
        mLeaving = true;
        boolean reportsLeaving = mCellRun.mutant() != RequestMutant.LEAVING_IGNORED;
        mProcess.execute(() -> mDriver.announce(mName + ":80", SLOTS, reportsLeaving));
    }

    /** The planned stop: no new work, streams moved, exit when idle. */
    void stop() {
        mStopping = true;
        mProcess.execute(
                () -> {
                    mDriver.stop();
                    exitWhenIdle();
                });
    }

    private void exitWhenIdle() {
        boolean exitsAtOnce = mCellRun.mutant() == RequestMutant.REQUESTS_CUT_AT_STOP;
        if (mDriver.isIdle() || exitsAtOnce) {
            mCellRun.killAgent(mName, false);
        } else if (mProcess.isAlive()) {
            mSimulation.schedule(STEP_INTERVAL, () -> mProcess.execute(this::exitWhenIdle));
        }
    }

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

    /** Events of the upstream reach the agent only while it lives and wants them. */
    private void sendWhileActive(RequestExecution execution, Runnable event) {
        mProcess.execute(
                () -> {
                    if (!execution.mCancelled) {
                        event.run();
                    }
                });
    }

    private void sendHead(
            RequestExecution execution, RequestTestDriver.Answer answer, String contentType) {
        mCellRun.reachStep(RequestStep.ANSWERING, null);
        sendWhileActive(
                execution,
                () -> answer.head(200, List.of(new HeaderField("Content-Type", contentType))));
    }

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
