package org.knapweedbank.standin;

import static com.google.common.truth.Truth.assertThat;

import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.OperationResult;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.StoreWatch;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;

/**
 * Tests of the {@link org.knapweedbank.store.KeyValueStore} contract, which each implementation
 * runs.
 */
@SuppressWarnings("try")
abstract class KeyValueStoreContract {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private StoreFixture mFixture;

    abstract StoreFixture open() throws Exception;

    @BeforeEach
    void openFixture() throws Exception {
        mFixture = open();
    }

    @AfterEach
    void closeFixture() {
        mFixture.close();
    }

    static Operation.Put put(String key, String value) {
        return new Operation.Put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    static Transaction transactionIf(Compare compare, Operation... operations) {
        return new Transaction(List.of(compare), List.of(operations), List.of());
    }

    static Transaction transactionOf(Operation... operations) {
        return new Transaction(List.of(), List.of(operations), List.of());
    }

    private static <T> T awaitValue(Uni<StoreResult<T>> call) {
        StoreResult<T> result = call.await().atMost(TIMEOUT);
        assertThat(result).isInstanceOf(StoreResult.Succeeded.class);
        return ((StoreResult.Succeeded<T>) result).value();
    }

    private TransactionResult run(Transaction transaction) {
        return awaitValue(mFixture.store().transact(transaction));
    }

    private KeyRange read(String key) {
        return awaitValue(mFixture.store().get(key));
    }

    private String valueText(String key) {
        return read(key).first().map(KeyEntry::text).orElse("absent");
    }

    /** Guards against two writers that both create an absent key. */
    @Test
    void absentKeyIsCreatedOnce() {
        assertThat(run(transactionIf(new Compare.Absent("/a"), put("/a", "1"))).conditionsHeld())
                .isTrue();
        assertThat(run(transactionIf(new Compare.Absent("/a"), put("/a", "2"))).conditionsHeld())
                .isFalse();
        assertThat(valueText("/a")).isEqualTo("1");
    }

    /** Guards against a compare that ignores a change made after the revision that was read. */
    @Test
    void comparesDetectChanges() {
        run(transactionOf(put("/a", "1")));
        KeyEntry first = read("/a").first().orElseThrow();
        assertThat(first.createRevision()).isEqualTo(first.modRevision());
        run(transactionIf(new Compare.ModifiedAt("/a", first.modRevision()), put("/a", "2")));
        KeyEntry second = read("/a").first().orElseThrow();
        assertThat(second.createRevision()).isEqualTo(first.createRevision());
        assertThat(second.modRevision()).isGreaterThan(first.modRevision());
        Transaction stale =
                transactionIf(new Compare.ModifiedAt("/a", first.modRevision()), put("/a", "3"));
        assertThat(run(stale).conditionsHeld()).isFalse();
        Transaction created =
                transactionIf(new Compare.CreatedAt("/a", first.createRevision()), put("/a", "4"));
        assertThat(run(created).conditionsHeld()).isTrue();
        byte[] value = "4".getBytes(StandardCharsets.UTF_8);
        assertThat(
                        run(transactionIf(new Compare.ValueEquals("/a", value), put("/a", "5")))
                                .conditionsHeld())
                .isTrue();
        assertThat(
                        run(transactionIf(new Compare.ValueEquals("/a", value), put("/a", "6")))
                                .conditionsHeld())
                .isFalse();
        assertThat(valueText("/a")).isEqualTo("5");
    }

    /** Guards against a failed nested transaction that makes its siblings fail. */
    @Test
    void nestedTransactionsAreIndependent() {
        run(transactionOf(put("/b", "taken")));
        Operation first = createIfAbsent("/a");
        Operation second = createIfAbsent("/b");
        TransactionResult result = run(transactionOf(first, second));
        assertThat(result.results()).hasSize(2);
        TransactionResult one = ((OperationResult.Nested) result.results().get(0)).result();
        TransactionResult two = ((OperationResult.Nested) result.results().get(1)).result();
        assertThat(one.conditionsHeld()).isTrue();
        assertThat(two.conditionsHeld()).isFalse();
        KeyRange read = ((OperationResult.Read) two.results().getFirst()).range();
        assertThat(read.first().orElseThrow().text()).isEqualTo("taken");
        assertThat(read("/a").first().orElseThrow().modRevision()).isEqualTo(result.revision());
    }

    private static Operation createIfAbsent(String key) {
        return new Operation.Nested(
                new Transaction(
                        List.of(new Compare.Absent(key)),
                        List.of(put(key, "mine")),
                        List.of(new Operation.Get(key))));
    }

    /** Guards against pages that skip or repeat keys or include keys beyond the prefix. */
    @Test
    void rangesArePaged() {
        run(transactionOf(put("/p/1", "a"), put("/p/2", "b"), put("/p/3", "c"), put("/q", "d")));
        KeyRange page = awaitValue(mFixture.store().range("/p/", 2));
        assertThat(page.entries().stream().map(KeyEntry::key))
                .containsExactly("/p/1", "/p/2")
                .inOrder();
        assertThat(page.hasMore()).isTrue();
        KeyRange rest = awaitValue(mFixture.store().rangeFrom("/p/", "/p/2\0", 2));
        assertThat(rest.entries().stream().map(KeyEntry::key)).containsExactly("/p/3");
        assertThat(rest.hasMore()).isFalse();
        run(transactionOf(new Operation.DeleteRange("/p/1", "/p/3"), new Operation.Delete("/q")));
        assertThat(awaitValue(mFixture.store().range("/", 9)).entries()).hasSize(1);
    }

    /** Guards against keys that outlive their lease and leases that expire early. */
    @Test
    void keysExpireWithTheirLease() {
        long lease = awaitValue(mFixture.store().grantLease(Duration.ofSeconds(5)));
        run(transactionOf(new Operation.Put("/a", new byte[] {1}, lease)));
        assertThat(read("/a").first().orElseThrow().leaseId()).isEqualTo(lease);
        mFixture.clock().advance(Duration.ofSeconds(4));
        assertThat(awaitValue(mFixture.store().keepAlive(lease))).isTrue();
        mFixture.clock().advance(Duration.ofSeconds(4));
        assertThat(valueText("/a")).isNotEqualTo("absent");
        mFixture.clock().advance(Duration.ofSeconds(2));
        assertThat(valueText("/a")).isEqualTo("absent");
        assertThat(awaitValue(mFixture.store().keepAlive(lease))).isFalse();
        long second = awaitValue(mFixture.store().grantLease(Duration.ofSeconds(5)));
        run(transactionOf(new Operation.Put("/b", new byte[] {1}, second)));
        assertThat(awaitValue(mFixture.store().revoke(second))).isTrue();
        assertThat(awaitValue(mFixture.store().revoke(second))).isFalse();
        assertThat(valueText("/b")).isEqualTo("absent");
    }

    /** Guards against invalid transactions that are reported as successful or have an effect. */
    @Test
    void invalidTransactionsAreRejectedWithoutEffect() {
        List<Transaction> invalid =
                List.of(
                        transactionOf(
                                put("/a", "1"), new Operation.Put("/b", new byte[1_000_001], 0)),
                        transactionOf(put("/a", "1"), put("/a", "2")),
                        transactionOf(
                                put("/a", "1"), new Operation.Put("/b", new byte[1], 999_999)));
        for (Transaction transaction : invalid) {
            assertThat(mFixture.store().transact(transaction).await().atMost(TIMEOUT))
                    .isInstanceOf(StoreResult.Rejected.class);
            assertThat(valueText("/a")).isEqualTo("absent");
        }
    }

    /** Guards against a lost response that is reported as a rejection or as success. */
    @ParameterizedTest
    @CsvSource({
        "WRITE, AFTER_EFFECT, 1",
        "WRITE, BEFORE_EFFECT, absent",
    })
    void lostResponseToWriteIsUnknown(StoreCallKind kind, AnswerLoss loss, String expected) {
        mFixture.backend().faults().loseAnswers(kind, loss, 1);
        assertThat(mFixture.store().transact(transactionOf(put("/a", "1"))).await().atMost(TIMEOUT))
                .isInstanceOf(StoreResult.Unknown.class);
        assertThat(valueText("/a")).isEqualTo(expected);
    }

    /** Guards against calls to an unreachable store being reported as unknown. */
    @Test
    void unreachableStoreIsUnavailableAndRecovers() {
        run(transactionOf(put("/a", "1")));
        mFixture.backend().faults().down(true);
        // Read first, because a write on a connection that is being closed may yield Unknown.
        assertThat(mFixture.store().get("/a").await().atMost(TIMEOUT))
                .isInstanceOf(StoreResult.Unavailable.class);
        assertThat(mFixture.store().transact(transactionOf(put("/a", "2"))).await().atMost(TIMEOUT))
                .isInstanceOf(StoreResult.Unavailable.class);
        mFixture.backend().faults().down(false);
        assertThat(valueText("/a")).isEqualTo("1");
    }

    /** Guards against watches that lose, repeat or reorder changes. */
    @Test
    void watchReportsChangesInOrder() throws Exception {
        RecordingListener listener = new RecordingListener();
        try (StoreWatch watch = mFixture.store().watch("/p/", 0, listener)) {
            assertThat(listener.awaitNotification()).isEqualTo("connected");
            run(transactionOf(put("/p/a", "1"), put("/q", "1")));
            run(transactionOf(new Operation.Delete("/p/a"), put("/p/b", "2")));
            assertThat(listener.awaitNotification()).isEqualTo("put /p/a=1");
            assertThat(listener.awaitNotification()).isEqualTo("deleted /p/a");
            assertThat(listener.awaitNotification()).isEqualTo("put /p/b=2");
        }
    }

    /** Guards against changes during an interruption that the watch never reports. */
    @Test
    void watchContinuesAfterInterruption() throws Exception {
        long lease = awaitValue(mFixture.store().grantLease(Duration.ofSeconds(5)));
        run(transactionOf(new Operation.Put("/p/a", new byte[] {'1'}, lease)));
        RecordingListener listener = new RecordingListener();
        long first = read("/p/a").first().orElseThrow().modRevision();
        try (StoreWatch watch = mFixture.store().watch("/p/", first, listener)) {
            assertThat(listener.awaitNotification()).isEqualTo("connected");
            assertThat(listener.awaitNotification()).isEqualTo("put /p/a=1");
            mFixture.backend().faults().down(true);
            assertThat(listener.awaitNotification()).isEqualTo("interrupted");
            mFixture.clock().advance(Duration.ofSeconds(6));
            mFixture.backend().tick();
            mFixture.backend().faults().down(false);
            assertThat(listener.awaitNotificationAfterInterruption()).isEqualTo("connected");
            assertThat(listener.awaitNotification()).isEqualTo("deleted /p/a");
        }
    }

    /** Guards against a watch that silently skips events that the store has dropped. */
    @Test
    void watchReportsCompaction() throws Exception {
        run(transactionOf(put("/p/a", "1")));
        run(transactionOf(put("/p/a", "2")));
        mFixture.backend().compact();
        RecordingListener listener = new RecordingListener();
        try (StoreWatch watch = mFixture.store().watch("/p/", 2, listener)) {
            assertThat(listener.awaitNotification()).isEqualTo("connected");
            assertThat(listener.awaitNotification()).isEqualTo("compacted");
            run(transactionOf(put("/p/a", "3")));
            assertThat(listener.awaitNotificationAfterInterruption())
                    .isAnyOf("put /p/a=3", "connected");
        }
    }
}
