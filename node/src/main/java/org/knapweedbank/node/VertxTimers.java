package org.knapweedbank.node;

import io.vertx.core.Vertx;
import java.time.Duration;

/** Timers that run on a Vert.x event loop. */
public final class VertxTimers implements Timers {
    private final Vertx mVertx;

    /**
     * Creates the timers. All methods must be called on the same event loop.
     *
     * @param vertx Vert.x instance that runs the timers
     */
    public VertxTimers(Vertx vertx) {
        mVertx = vertx;
    }

    @Override
    public Runnable after(Duration delay, Runnable task) {
        long timerId = mVertx.setTimer(Math.max(1, delay.toMillis()), ignored -> task.run());
        return () -> mVertx.cancelTimer(timerId);
    }

    @Override
    public Runnable every(Duration interval, Runnable task) {
        long timerId = mVertx.setPeriodic(Math.max(1, interval.toMillis()), ignored -> task.run());
        return () -> mVertx.cancelTimer(timerId);
    }
}
