package org.knapweedbank.standin;

import org.knapweedbank.time.ManualClock;
import org.knapweedbank.worker.Worker;

class InMemoryWorkerTest extends WorkerContract {
    @Override
    WorkerFixture open() {
        ManualClock clock = new ManualClock();
        InMemoryWorker worker = new InMemoryWorker(clock, DESCRIPTION);
        return new WorkerFixture() {
            @Override
            public Worker worker() {
                return worker;
            }

            @Override
            public InMemoryWorker backend() {
                return worker;
            }

            @Override
            public ManualClock clock() {
                return clock;
            }

            @Override
            public void close() {}
        };
    }
}
