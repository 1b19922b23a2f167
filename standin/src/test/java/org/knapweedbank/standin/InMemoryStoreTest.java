package org.knapweedbank.standin;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.time.ManualClock;

class InMemoryStoreTest extends KeyValueStoreContract {
    @Override
    StoreFixture open() {
        ManualClock clock = new ManualClock();
        InMemoryStore store = new InMemoryStore(clock);
        return new StoreFixture() {
            @Override
            public KeyValueStore store() {
                return store;
            }

            @Override
            public InMemoryStore backend() {
                return store;
            }

            @Override
            public ManualClock clock() {
                return clock;
            }

            @Override
            public void close() {
                store.close();
            }
        };
    }

    /** Guards against a fault of one client that reaches another. */
    @Test
    void clientsHaveTheirOwnFaults() {
        InMemoryStore store = new InMemoryStore(new ManualClock());
        StoreClient cutOff = store.client();
        cutOff.faults().down(true);
        assertThat(cutOff.get("/a").await().indefinitely())
                .isInstanceOf(StoreResult.Unavailable.class);
        assertThat(store.client().get("/a").await().indefinitely())
                .isInstanceOf(StoreResult.Succeeded.class);
        assertThat(store.counters().calls(StoreCallKind.READ)).isEqualTo(1);
    }

    /** Guards against a slow store that answers at once or never. */
    @Test
    void slowAnswersWaitForTheirTime() {
        ManualClock clock = new ManualClock();
        InMemoryStore store = new InMemoryStore(clock);
        store.faults().slow(Duration.ofSeconds(1));
        List<Object> answers = new ArrayList<>();
        store.get("/a").subscribe().with(answers::add);
        store.tick();
        assertThat(answers).isEmpty();
        clock.advance(Duration.ofSeconds(1));
        store.tick();
        assertThat(answers).hasSize(1);
    }
}
