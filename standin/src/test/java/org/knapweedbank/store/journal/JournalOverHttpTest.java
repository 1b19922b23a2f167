package org.knapweedbank.store.journal;

import static com.google.common.truth.Truth.assertThat;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedbank.ring.DutyThread;
import org.knapweedbank.standin.AnswerLoss;
import org.knapweedbank.standin.EtcdGatewayServer;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.standin.StoreCallKind;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.etcd.EtcdGatewayStore;
import org.knapweedbank.store.etcd.EtcdSettings;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.store.lease.StoreOwnership;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.SystemClock;

/** Tests the journal over HTTP, with appends, ticks and responses on separate threads. */
class JournalOverHttpTest {
    private static final int RECORD_COUNT = 2000;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final Clock mClock = new SystemClock();
    private final InMemoryStore mBackendStore = new InMemoryStore(mClock);
    private Vertx mVertx;
    private EtcdGatewayServer mServer;
    private EtcdGatewayStore mStore;

    @BeforeEach
    void start() {
        mVertx = Vertx.vertx();
        mServer = new EtcdGatewayServer(mVertx, mBackendStore, "127.0.0.1", 0);
        mServer.start();
        mStore =
                new EtcdGatewayStore(
                        mVertx, EtcdSettings.of(List.of("127.0.0.1:" + mServer.port())));
    }

    @AfterEach
    void stop() throws Exception {
        mStore.close();
        mServer.close();
        mVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private static <T> T awaitValue(Uni<StoreResult<T>> call) {
        return ((StoreResult.Succeeded<T>) call.await().atMost(TIMEOUT)).value();
    }

    /** Guards against records that races lose, repeat or report out of order. */
    @Test
    void recordsKeepTheirOrder() throws Exception {
        long lease = awaitValue(mStore.grantLease(TIMEOUT.multipliedBy(10)));
        Ownership ownership =
                awaitValue(new StoreOwnership(mStore).acquire(0, "a", "a:1", lease)).orElseThrow();
        JournalSettings settings =
                new JournalSettings(
                        Duration.ofMillis(1), RECORD_COUNT, 4000, 900_000, Duration.ofMillis(1));
        GroupCommitJournal journal = new GroupCommitJournal(mStore, mClock, ownership, settings);
        awaitValue(journal.load());
        List<Integer> reported = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch pending = new CountDownLatch(RECORD_COUNT);
        try (DutyThread duty = new DutyThread("journal", 64, journal::tick, Duration.ofMillis(1))) {
            duty.start();
            for (int i = 0; i < RECORD_COUNT; i++) {
                int number = i;
                if (i % 500 == 100) {
                    mBackendStore
                            .faults()
                            .loseAnswers(StoreCallKind.WRITE, AnswerLoss.AFTER_EFFECT, 1);
                }
                byte[] record = Integer.toString(i).getBytes(StandardCharsets.UTF_8);
                journal.append(
                        record,
                        outcome -> {
                            reported.add(number);
                            pending.countDown();
                        });
            }
            assertThat(pending.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
        }
        List<Integer> expected = IntStream.range(0, RECORD_COUNT).boxed().toList();
        assertThat(reported).isEqualTo(expected);
        List<Integer> stored =
                awaitValue(journal.load()).records().stream()
                        .map(r -> Integer.valueOf(new String(r, StandardCharsets.UTF_8)))
                        .toList();
        assertThat(stored).isEqualTo(expected);
    }
}
