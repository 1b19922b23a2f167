package org.knapweedbank.standin;

import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.time.ManualClock;

/** A store under test and the in-memory store that executes its calls. */
interface StoreFixture extends AutoCloseable {
    /** Returns the store under test. */
    KeyValueStore store();

    /** Returns the in-memory store, which holds the state and the faults. */
    InMemoryStore backend();

    /** Returns the clock of the in-memory store. */
    ManualClock clock();

    @Override
    void close();
}
