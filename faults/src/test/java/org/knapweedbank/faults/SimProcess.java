package org.knapweedbank.faults;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A simulated process that can be killed or paused. Events that arrive during a pause are deferred
 * until the process resumes.
 */
public final class SimProcess {
    private final Simulation mSimulation;
    private final String mName;

    /** Events that arrived during the pause, in order of arrival. */
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

    /** Ends the process for good and drops its deferred events. */
    public void kill() {
        mSimulation.trace(mName, "killed");
        mAlive = false;
        mDeferredEvents.clear();
    }

    /** Pauses the process for a duration. Has no effect on a paused or killed process. */
    public void pause(Duration duration) {
        if (mPaused || !mAlive) {
            return;
        }
        mSimulation.trace(mName, "paused for " + duration);
        mPaused = true;
        mSimulation.schedule(duration, this::resume);
    }

    /**
     * Ends the pause and runs the deferred events, unless one of them kills or pauses the process
     * again.
     */
    private void resume() {
        mPaused = false;
        if (mAlive) {
            mSimulation.trace(mName, "resumed");
        }
        while (mAlive && !mPaused && !mDeferredEvents.isEmpty()) {
            mDeferredEvents.poll().run();
        }
    }

    /**
     * Runs an event at once, defers it while the process is paused, or drops it if the process has
     * been killed.
     */
    public void execute(Runnable event) {
        if (mAlive && mPaused) {
            mDeferredEvents.add(event);
        } else if (mAlive) {
            event.run();
        }
    }

    /**
     * Runs an action repeatedly until the process is killed. An action that is due during a pause
     * runs when the process resumes, and the next interval starts then.
     *
     * @param interval time from the end of one action to the next
     */
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
