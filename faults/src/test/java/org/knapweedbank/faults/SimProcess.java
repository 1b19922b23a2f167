package org.knapweedbank.faults;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** A process that can be killed, or paused; events wait until it goes on. */
public final class SimProcess {
    private final Simulation mSimulation;
    private final String mName;
    private final Deque<Runnable> mDeferredEvents = new ArrayDeque<>();
    private boolean mAlive = true;
    private boolean mPaused;

    public SimProcess(Simulation simulation, String name) {
        mSimulation = simulation;
        mName = name;
    }

    public boolean isAlive() {
        return mAlive;
    }

    public String name() {
        return mName;
    }

    public void kill() {
        mSimulation.trace(mName, "killed");
        mAlive = false;
        mDeferredEvents.clear();
    }

    public void pause(Duration duration) {
        if (mPaused || !mAlive) {
            return;
        }
        mSimulation.trace(mName, "paused for " + duration);
        mPaused = true;
        mSimulation.schedule(duration, this::resume);
    }

    private void resume() {
        mPaused = false;
        if (mAlive) {
            mSimulation.trace(mName, "goes on");
        }
        while (mAlive && !mPaused && !mDeferredEvents.isEmpty()) {
            mDeferredEvents.poll().run();
        }
    }

    /** Runs an event now, when the process goes on, or never. */
    public void execute(Runnable event) {
        if (mAlive && mPaused) {
            mDeferredEvents.add(event);
        } else if (mAlive) {
            event.run();
        }
    }

    /** Runs a step at an interval; a step that is due during a pause runs after it. */
    public void scheduleRepeating(Duration interval, Runnable action) {
        mSimulation.schedule(
                interval,
                () ->
                        execute(
                                () -> {
                                    action.run();
                                    scheduleRepeating(interval, action);
                                }));
    }
}
