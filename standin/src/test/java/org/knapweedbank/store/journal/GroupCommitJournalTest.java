package org.knapweedbank.store.journal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedbank.standin.AnswerLoss;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.standin.StoreCallKind;
import org.knapweedbank.standin.StoreClient;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.store.lease.StoreOwnership;
import org.knapweedbank.time.ManualClock;

class GroupCommitJournalTest {
    private static final Duration INTERVAL = Duration.ofMillis(50);

    private final ManualClock mClock = new ManualClock();
    private final InMemoryStore mStore = new InMemoryStore(mClock);
    private final StoreClient mClient = mStore.client();
    private final List<String> mOutcomes = new ArrayList<>();
    private Ownership mOwnership;
    private GroupCommitJournal mJournal;

    private static <T> T value(Uni<StoreResult<T>> call) {
        return ((StoreResult.Succeeded<T>) call.await().indefinitely()).value();
    }

    @BeforeEach
    void openJournal() {
        mOwnership = own("a");
        mJournal = journal(mClient, mOwnership);
        value(mJournal.load());
    }

    private Ownership own(String owner) {
        long lease = value(mStore.grantLease(Duration.ofSeconds(5)));
        StoreOwnership store = new StoreOwnership(mStore.client());
        return value(store.acquire(0, owner, owner + ":1", lease)).orElseThrow();
    }

    private GroupCommitJournal journal(StoreClient client, Ownership ownership) {
        return new GroupCommitJournal(client, mClock, ownership, JournalSettings.standard());
    }

    private GroupCommitJournal takeOver() {
        mClock.advance(Duration.ofSeconds(6));
        return journal(mStore.client(), own("b"));
    }

    private void append(String record) {
        boolean taken =
                mJournal.append(
                        record.getBytes(StandardCharsets.UTF_8),
                        outcome -> mOutcomes.add(record + " " + name(outcome)));
        assertThat(taken).isTrue();
    }

    private static String name(JournalOutcome outcome) {
        return outcome.getClass().getSimpleName();
    }

    private void run(Duration duration) {
        for (long t = 0; t < duration.toMillis(); t += 10) {
            mClock.advance(Duration.ofMillis(10));
            mStore.tick();
            mJournal.tick();
        }
    }

    private List<String> records(GroupCommitJournal journal) {
        return value(journal.load()).records().stream()
                .map(r -> new String(r, StandardCharsets.UTF_8))
                .toList();
    }

    /** Guards against records of one interval that cost a write each, or wait longer. */
    @Test
    void recordsOfAnIntervalShareAWrite() {
        long before = mStore.counters().calls(StoreCallKind.WRITE);
        append("1");
        append("2");
        run(INTERVAL.minusMillis(10));
        assertThat(mOutcomes).isEmpty();
        run(Duration.ofMillis(10));
        assertThat(mOutcomes).containsExactly("1 Committed", "2 Committed").inOrder();
        assertThat(mStore.counters().calls(StoreCallKind.WRITE)).isEqualTo(before + 1);
        assertThat(mJournal.segments()).isEqualTo(1);
    }

    /** Guards against records that are lost, repeated or reordered by faults of the store. */
    @ParameterizedTest
    @CsvSource({
        "WRITE, AFTER_EFFECT, 1",
        "WRITE, BEFORE_EFFECT, 1",
        "WRITE, AFTER_EFFECT, 3",
        "WRITE, BEFORE_EFFECT, 3",
        "WRITE, LATE_EFFECT, 2",
        "READ, AFTER_EFFECT, 2"
    })
    void recordsSurviveLostAnswers(StoreCallKind kind, AnswerLoss loss, int count) {
        if (kind == StoreCallKind.READ) {
            mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.AFTER_EFFECT, 1);
        }
        mClient.faults().loseAnswers(kind, loss, count);
        append("1");
        run(INTERVAL);
        append("2");
        run(Duration.ofSeconds(5));
        mStore.deliverLate();
        assertThat(mOutcomes).containsExactly("1 Committed", "2 Committed").inOrder();
        assertThat(records(takeOver())).containsExactly("1", "2").inOrder();
    }

    /** Guards against an unknown outcome that takes more than one read to resolve. */
    @Test
    void unknownOutcomeTakesOneRead() {
        long before = mStore.counters().calls(StoreCallKind.READ);
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.AFTER_EFFECT, 1);
        append("1");
        run(INTERVAL);
        assertThat(mOutcomes).containsExactly("1 Committed");
        assertThat(mStore.counters().calls(StoreCallKind.READ)).isEqualTo(before + 1);
    }

    /** Guards against records that an outage drops, and a backlog of one write for each. */
    @Test
    void outageDelaysRecords() {
        mClient.faults().down(true);
        for (int i = 0; i < 50; i++) {
            append("r" + i);
            run(INTERVAL);
        }
        assertThat(mOutcomes).isEmpty();
        mClient.faults().down(false);
        run(Duration.ofSeconds(2));
        assertThat(mOutcomes).hasSize(50);
        assertThat(mJournal.segments()).isEqualTo(2);
        assertThat(records(takeOver())).hasSize(50);
    }

    /** Guards against a former owner that writes after a pause beyond its lease. */
    @Test
    void formerOwnerIsFenced() {
        append("1");
        run(INTERVAL);
        append("2");
        GroupCommitJournal successor = takeOver();
        assertThat(records(successor)).containsExactly("1");
        run(INTERVAL);
        append("3");
        assertThat(mOutcomes).containsExactly("1 Committed", "2 Fenced", "3 Fenced").inOrder();
        assertThat(records(successor)).containsExactly("1");
        boolean taken = mJournal.compact(new byte[1], o -> mOutcomes.add(name(o)));
        assertThat(taken).isTrue();
        assertThat(mOutcomes).contains("Fenced");
    }

    /** Guards against a write of a former owner that arrives after the take-over. */
    @Test
    void lateWriteOfAFormerOwnerHasNoEffect() {
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.LATE_EFFECT, 1);
        mClient.faults().loseAnswers(StoreCallKind.READ, AnswerLoss.AFTER_EFFECT, 1);
        append("1");
        run(INTERVAL);
        GroupCommitJournal successor = takeOver();
        assertThat(records(successor)).isEmpty();
        mStore.deliverLate();
        assertThat(records(successor)).isEmpty();
        run(Duration.ofSeconds(1));
        assertThat(mOutcomes).containsExactly("1 Fenced");
    }

    /** Guards against a write that took effect before the take-over but is reported as fenced. */
    @Test
    void recordInTheStoreIsCommittedThoughTheOwnerChanged() {
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.AFTER_EFFECT, 1);
        mClient.faults().loseAnswers(StoreCallKind.READ, AnswerLoss.AFTER_EFFECT, 1);
        append("1");
        run(INTERVAL);
        append("2");
        assertThat(mOutcomes).isEmpty();
        assertThat(records(takeOver())).containsExactly("1");
        run(Duration.ofSeconds(1));
        assertThat(mOutcomes).containsExactly("1 Committed", "2 Fenced").inOrder();
    }

    /** Guards against snapshots that lose or repeat records, in one value or in several. */
    @ParameterizedTest
    @CsvSource({"1000, false", "899000, false", "2500000, false", "2500000, true"})
    void snapshotReplacesTheLog(int size, boolean lostAnswers) {
        append("1");
        run(INTERVAL);
        append("2");
        byte[] snapshot = new byte[size];
        Arrays.fill(snapshot, (byte) 7);
        if (lostAnswers) {
            mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.AFTER_EFFECT, 9);
        }
        for (int round = 0; round < 2; round++) {
            assertThat(mJournal.compact(snapshot, o -> mOutcomes.add(name(o)))).isTrue();
            append("3");
            run(Duration.ofSeconds(20));
        }
        assertThat(mOutcomes)
                .containsExactly(
                        "1 Committed",
                        "2 Committed",
                        "Committed",
                        "3 Committed",
                        "Committed",
                        "3 Committed")
                .inOrder();
        GroupCommitJournal successor = takeOver();
        assertThat(value(successor.load()).snapshot()).isEqualTo(snapshot);
        assertThat(records(successor)).containsExactly("3");
        assertThat(mStore.counters().largestValue()).isLessThan(1_000_000L);
        int parts = size < 900_000 ? 0 : 3;
        assertThat(value(mStore.range("/kwb/p/0/part/", 99)).entries()).hasSize(parts);
    }

    /** Guards against a log of many segments that is read in part. */
    @Test
    void longLogsAreReadInPages() {
        for (int i = 0; i < 700; i++) {
            append("r" + i);
            run(INTERVAL);
        }
        long before = mStore.counters().calls(StoreCallKind.READ);
        assertThat(records(takeOver())).hasSize(700);
        assertThat(mStore.counters().calls(StoreCallKind.READ) - before).isLessThan(10L);
    }

    /** Guards against a damaged log that is taken for a shorter one. */
    @ParameterizedTest
    @CsvSource({"missing", "truncated", "changed", "other"})
    void damagedLogsAreRejected(String damage) {
        append("1");
        run(INTERVAL);
        append("2");
        run(INTERVAL);
        String key = value(mStore.range("/kwb/p/0/log/", 1)).first().orElseThrow().key();
        byte[] before = value(mStore.get(key)).first().orElseThrow().value();
        byte[] changed = before.clone();
        changed[changed.length / 2] ^= 1;
        Operation operation =
                switch (damage) {
                    case "missing" -> new Operation.Delete(key);
                    case "truncated" ->
                            new Operation.Put(key, Arrays.copyOf(before, before.length - 3), 0);
                    case "changed" -> new Operation.Put(key, changed, 0);
                    default -> new Operation.Put(key, new byte[] {'{', '}'}, 0);
                };
        mStore.transact(Transaction.of(operation)).await().indefinitely();
        assertThat(takeOver().load().await().indefinitely())
                .isInstanceOf(StoreResult.Rejected.class);
    }

    /** Guards against memory that grows without bound while the store is down. */
    @Test
    void fullQueueRefusesRecords() {
        mClient.faults().down(true);
        int taken = 0;
        while (mJournal.append(new byte[10], outcome -> mOutcomes.add(name(outcome)))) {
            taken++;
        }
        assertThat(taken).isEqualTo(JournalSettings.standard().maxWaiting());
        mJournal.close();
        assertThat(mOutcomes).hasSize(taken);
        assertThat(mOutcomes.getFirst()).isEqualTo("Closed");
    }

    /** Guards against an owner that appends over a log that it has not read. */
    @Test
    void appendsNeedTheLog() {
        GroupCommitJournal unread = takeOver();
        assertThrows(IllegalStateException.class, () -> unread.append(new byte[1], outcome -> {}));
    }
}
