package org.knapweedbank.node.entry;

import java.time.Duration;
import org.knapweedbank.node.Timers;

/** Timers of one process; none fires once the process has been killed. */
final class ProcessTimers implements Timers {
    private final Timers mTimers;
    private boolean mKilled;

    ProcessTimers(Timers timers) {
        mTimers = timers;
    }

    void kill() {
        mKilled = true;
    }

    @Override
    public Runnable after(Duration delay, Runnable task) {
        return mTimers.after(delay, () -> runIfAlive(task));
    }

    @Override
    public Runnable every(Duration interval, Runnable task) {
        return mTimers.every(interval, () -> runIfAlive(task));
    }

    private void runIfAlive(Runnable task) {
        if (!mKilled) {
            task.run();
        }
    }
}
