package org.knapweedbank.faults.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.knapweedbank.agent.RequestSeam;
import org.knapweedbank.faults.SimProcess;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.Request;

/** One incarnation of an agent with the upstream beside it, which records what it runs. */
final class SimRequestAgent {
    private static final Duration STEP = Duration.ofMillis(50);
    private static final int SLOTS = 2;

    private final RequestWorld mWorld;
    private final Simulation mSimulation;
    private final String mName;
    private final SimProcess mProcess;
    private final RequestSeam mDuty;
    private boolean mLeaving;
    private boolean mStopping;

    SimRequestAgent(RequestWorld world, String name, Clock clock) {
        mWorld = world;
        mSimulation = world.simulation();
        mName = name;
        mProcess = new SimProcess(mSimulation, name);
        mDuty =
                new RequestSeam(
                        clock,
                        this::call,
                        state -> world.upstreamChanged(this, state.leaving() || state.gone()));
        mProcess.every(STEP, mDuty::step);
        announce();
    }

    String name() {
        return mName;
    }

    SimProcess process() {
        return mProcess;
    }

    RequestSeam duty() {
        return mDuty;
    }

    private void announce() {
        boolean told = mWorld.mutant() != RequestMutant.LEAVING_IGNORED;
        mProcess.execute(() -> mDuty.announce(mName + ":80", SLOTS, mLeaving && told));
        if (mProcess.alive() && !mStopping) {
            mSimulation.after(Duration.ofSeconds(2), this::announce);
        }
    }

    /** The upstream announces that it leaves. */
    void leave() {
        mLeaving = true;
        boolean told = mWorld.mutant() != RequestMutant.LEAVING_IGNORED;
        mProcess.execute(() -> mDuty.announce(mName + ":80", SLOTS, told));
    }

    /** The planned stop: no new work, streams moved, exit when idle. */
    void stop() {
        mStopping = true;
        mProcess.execute(
                () -> {
                    mDuty.stop();
                    exitWhenIdle();
                });
    }

    private void exitWhenIdle() {
        boolean cut = mWorld.mutant() == RequestMutant.REQUESTS_CUT_AT_STOP;
        if (mDuty.isIdle() || cut) {
            mWorld.killAgent(mName, false);
        } else if (mProcess.alive()) {
            mSimulation.after(STEP, () -> mProcess.execute(this::exitWhenIdle));
        }
    }

    private Runnable call(String address, Request request, RequestSeam.Answer answer) {
        RequestRun run = mWorld.started(request.path().substring(1), mName, this);
        boolean broken = mWorld.failsEverything(mName);
        long millis = 40 + mSimulation.random().nextInt(160);
        mSimulation.after(
                Duration.ofMillis(millis),
                () -> {
                    if (broken) {
                        run.mDone = true;
                        answering(run, () -> answer.failed(true, "connection broke"));
                    } else if (request.stream()) {
                        head(run, answer, "text/event-stream");
                        int seen = Integer.parseInt(request.headers().getFirst().value());
                        event(run, answer, seen + 1);
                    } else {
                        head(run, answer, "text/plain");
                        body(run, answer, request.path().substring(1), 0);
                    }
                });
        return () -> {
            if (!run.mDone) {
                run.mCancelled = true;
                mWorld.cancelled(run, request.stream());
            }
        };
    }

    /** Events of the upstream reach the agent only while it lives and wants them. */
    private void answering(RequestRun run, Runnable event) {
        mProcess.execute(
                () -> {
                    if (!run.mCancelled) {
                        event.run();
                    }
                });
    }

    private void head(RequestRun run, RequestSeam.Answer answer, String type) {
        mWorld.step(RequestStep.ANSWERING, null);
        answering(run, () -> answer.head(200, List.of(new HeaderField("Content-Type", type))));
    }

    private void body(RequestRun run, RequestSeam.Answer answer, String submission, int part) {
        if (part == RequestWorld.PARTS) {
            run.mDone = true;
            answering(run, answer::end);
            return;
        }
        byte[] bytes = RequestWorld.part(submission, part).getBytes(StandardCharsets.UTF_8);
        answering(run, () -> answer.bytes(bytes));
        mSimulation.after(
                Duration.ofMillis(mSimulation.random().nextInt(30)),
                () -> body(run, answer, submission, part + 1));
    }

    private void event(RequestRun run, RequestSeam.Answer answer, int number) {
        if (run.mCancelled || !mProcess.alive()) {
            return;
        }
        byte[] bytes = RequestWorld.event(number).getBytes(StandardCharsets.UTF_8);
        answering(run, () -> answer.bytes(bytes));
        mWorld.step(RequestStep.STREAM_RUNNING, null);
        mSimulation.after(Duration.ofMillis(300), () -> event(run, answer, number + 1));
    }
}
