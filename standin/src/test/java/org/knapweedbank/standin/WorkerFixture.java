package org.knapweedbank.standin;

import org.knapweedbank.time.ManualClock;
import org.knapweedbank.worker.Worker;

/** A worker under test and the in-memory worker that executes its calls. */
interface WorkerFixture extends AutoCloseable {
    /** Returns the worker under test. */
    Worker worker();

    /** Returns the in-memory worker, which holds the tasks and the faults. */
    InMemoryWorker backend();

    /** Returns the clock of the in-memory worker. */
    ManualClock clock();

    @Override
    void close();
}
