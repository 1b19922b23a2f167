package org.knapweedbank.faults;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** A process that can be killed, or paused; events wait until it goes on. */
public final class SimProcess {
    private final Simulation mSimulation;
    private final String mName;
    private final Deque<Runnable> mWaiting = new ArrayDeque<>();
    private boolean mAlive = true;
    private boolean mPaused;

    public SimProcess(Simulation simulation, String name) {
        mSimulation = simulation;
        mName = name;
    }

    public boolean alive() {
        return mAlive;
    }

    public String name() {
        return mName;
    }

    public void kill() {
        mSimulation.trace(mName, "killed");
        mAlive = false;
        mWaiting.clear();
    }

    public void pause(Duration duration) {
        if (mPaused || !mAlive) {
            return;
        }
        mSimulation.trace(mName, "paused for " + duration);
        mPaused = true;
        mSimulation.after(duration, this::resume);
    }

    private void resume() {
        mPaused = false;
        if (mAlive) {
            mSimulation.trace(mName, "goes on");
        }
        while (mAlive && !mPaused && !mWaiting.isEmpty()) {
            mWaiting.poll().run();
        }
    }

    /** Runs an event now, when the process goes on, or never. */
    public void execute(Runnable event) {
        if (mAlive && mPaused) {
            mWaiting.add(event);
        } else if (mAlive) {
            event.run();
        }
    }

    /** Runs a step at an interval; a step that is due during a pause runs after it. */
    public void every(Duration interval, Runnable step) {
        mSimulation.after(
                interval,
                () ->
                        execute(
                                () -> {
                                    step.run();
                                    every(interval, step);
                                }));
    }
}
