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

    /** Guards against a fault of one client that affects another client. */
    @Test
    void clientsHaveTheirOwnFaults() {
        InMemoryStore store = new InMemoryStore(new ManualClock());
        StoreClient disconnected = store.client();
        disconnected.faults().down(true);
        assertThat(disconnected.get("/a").await().indefinitely())
                .isInstanceOf(StoreResult.Unavailable.class);
        assertThat(store.client().get("/a").await().indefinitely())
                .isInstanceOf(StoreResult.Succeeded.class);
        assertThat(store.counters().calls(StoreCallKind.READ)).isEqualTo(1);
    }

    /** Guards against delayed responses that are delivered too early or never. */
    @Test
    void delayedResponseIsDeliveredAfterItsDelay() {
        ManualClock clock = new ManualClock();
        InMemoryStore store = new InMemoryStore(clock);
        store.faults().slow(Duration.ofSeconds(1));
        List<Object> responses = new ArrayList<>();
        store.get("/a").subscribe().with(responses::add);
        store.tick();
        assertThat(responses).isEmpty();
        clock.advance(Duration.ofSeconds(1));
        store.tick();
        assertThat(responses).hasSize(1);
    }
}
