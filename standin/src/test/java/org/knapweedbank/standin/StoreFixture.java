package org.knapweedbank.standin;

import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.time.ManualClock;

/** A store under test together with the in-memory store behind it. */
interface StoreFixture extends AutoCloseable {
    /** The store under test. */
    KeyValueStore store();

    /** The in-memory store that holds the state and the faults. */
    InMemoryStore backend();

    /** Clock of the in-memory store. */
    ManualClock clock();

    @Override
    void close();
}
