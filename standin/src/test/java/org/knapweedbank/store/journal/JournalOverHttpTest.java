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

/** The journal over HTTP, with appends, steps and answers on threads of their own. */
class JournalOverHttpTest {
    private static final int RECORDS = 2000;
    private static final Duration LIMIT = Duration.ofSeconds(30);

    private final Clock mClock = new SystemClock();
    private final InMemoryStore mBackend = new InMemoryStore(mClock);
    private Vertx mVertx;
    private EtcdGatewayServer mServer;
    private EtcdGatewayStore mStore;

    @BeforeEach
    void start() {
        mVertx = Vertx.vertx();
        mServer = new EtcdGatewayServer(mVertx, mBackend, "127.0.0.1", 0);
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

    private static <T> T value(Uni<StoreResult<T>> call) {
        return ((StoreResult.Succeeded<T>) call.await().atMost(LIMIT)).value();
    }

    /** Guards against records lost, repeated or reported out of order when threads interleave. */
    @Test
    void recordsKeepTheirOrder() throws Exception {
        long lease = value(mStore.grantLease(LIMIT.multipliedBy(10)));
        Ownership ownership =
                value(new StoreOwnership(mStore).acquire(0, "a", "a:1", lease)).orElseThrow();
        JournalSettings settings =
                new JournalSettings(
                        Duration.ofMillis(1), RECORDS, 4000, 900_000, Duration.ofMillis(1));
        GroupCommitJournal journal = new GroupCommitJournal(mStore, mClock, ownership, settings);
        value(journal.load());
        List<Integer> reported = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch done = new CountDownLatch(RECORDS);
        try (DutyThread duty = new DutyThread("journal", 64, journal::tick, Duration.ofMillis(1))) {
            duty.start();
            for (int i = 0; i < RECORDS; i++) {
                int number = i;
                if (i % 500 == 100) {
                    mBackend.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.AFTER_EFFECT, 1);
                }
                byte[] record = Integer.toString(i).getBytes(StandardCharsets.UTF_8);
                journal.append(
                        record,
                        outcome -> {
                            reported.add(number);
                            done.countDown();
                        });
            }
            assertThat(done.await(LIMIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
        }
        List<Integer> expected = IntStream.range(0, RECORDS).boxed().toList();
        assertThat(reported).isEqualTo(expected);
        List<Integer> stored =
                value(journal.load()).records().stream()
                        .map(r -> Integer.valueOf(new String(r, StandardCharsets.UTF_8)))
                        .toList();
        assertThat(stored).isEqualTo(expected);
    }
}
