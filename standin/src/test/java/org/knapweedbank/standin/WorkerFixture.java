package org.knapweedbank.standin;

import org.knapweedbank.time.ManualClock;
import org.knapweedbank.worker.Worker;

/** A worker under test together with the in-memory worker behind it. */
interface WorkerFixture extends AutoCloseable {
    /** The worker under test. */
    Worker worker();

    /** The in-memory worker that holds the tasks and the faults. */
    InMemoryWorker backend();

    /** Clock of the in-memory worker. */
    ManualClock clock();

    @Override
    void close();
}
