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
    private static final Duration COMMIT_INTERVAL = Duration.ofMillis(50);

    private final ManualClock mClock = new ManualClock();
    private final InMemoryStore mStore = new InMemoryStore(mClock);
    private final StoreClient mClient = mStore.client();
    private final List<String> mOutcomes = new ArrayList<>();
    private Ownership mOwnership;
    private GroupCommitJournal mJournal;

    private static <T> T awaitValue(Uni<StoreResult<T>> call) {
        return ((StoreResult.Succeeded<T>) call.await().indefinitely()).value();
    }

    @BeforeEach
    void openJournal() {
        mOwnership = acquireOwnership("a");
        mJournal = createJournal(mClient, mOwnership);
        awaitValue(mJournal.load());
    }

    private Ownership acquireOwnership(String owner) {
        long lease = awaitValue(mStore.grantLease(Duration.ofSeconds(5)));
        StoreOwnership storeOwnership = new StoreOwnership(mStore.client());
        return awaitValue(storeOwnership.acquire(0, owner, owner + ":1", lease)).orElseThrow();
    }

    private GroupCommitJournal createJournal(StoreClient client, Ownership ownership) {
        return new GroupCommitJournal(client, mClock, ownership, JournalSettings.standard());
    }

    private GroupCommitJournal openSuccessorJournal() {
        mClock.advance(Duration.ofSeconds(6));
        return createJournal(mStore.client(), acquireOwnership("b"));
    }

    private void append(String record) {
        boolean accepted =
                mJournal.append(
                        record.getBytes(StandardCharsets.UTF_8),
                        outcome -> mOutcomes.add(record + " " + outcomeName(outcome)));
        assertThat(accepted).isTrue();
    }

    private static String outcomeName(JournalOutcome outcome) {
        return outcome.getClass().getSimpleName();
    }

    private void runFor(Duration duration) {
        for (long elapsedMillis = 0; elapsedMillis < duration.toMillis(); elapsedMillis += 10) {
            mClock.advance(Duration.ofMillis(10));
            mStore.tick();
            mJournal.tick();
        }
    }

    private List<String> loadRecords(GroupCommitJournal journal) {
        return awaitValue(journal.load()).records().stream()
                .map(r -> new String(r, StandardCharsets.UTF_8))
                .toList();
    }

    /** Guards against one write for each record of an interval, and records that wait longer. */
    @Test
    void recordsOfOneIntervalShareOneWrite() {
        long writesBefore = mStore.counters().calls(StoreCallKind.WRITE);
        append("1");
        append("2");
        runFor(COMMIT_INTERVAL.minusMillis(10));
        assertThat(mOutcomes).isEmpty();
        runFor(Duration.ofMillis(10));
        assertThat(mOutcomes).containsExactly("1 Committed", "2 Committed").inOrder();
        assertThat(mStore.counters().calls(StoreCallKind.WRITE)).isEqualTo(writesBefore + 1);
        assertThat(mJournal.segmentCount()).isEqualTo(1);
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
    void recordsSurviveLostResponses(StoreCallKind kind, AnswerLoss loss, int count) {
        if (kind == StoreCallKind.READ) {
            mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.AFTER_EFFECT, 1);
        }
        mClient.faults().loseAnswers(kind, loss, count);
        append("1");
        runFor(COMMIT_INTERVAL);
        append("2");
        runFor(Duration.ofSeconds(5));
        mStore.executeDelayedCalls();
        assertThat(mOutcomes).containsExactly("1 Committed", "2 Committed").inOrder();
        assertThat(loadRecords(openSuccessorJournal())).containsExactly("1", "2").inOrder();
    }

    /** Guards against more than one read to resolve a write with an unknown outcome. */
    @Test
    void unknownOutcomeIsResolvedByOneRead() {
        long readsBefore = mStore.counters().calls(StoreCallKind.READ);
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.AFTER_EFFECT, 1);
        append("1");
        runFor(COMMIT_INTERVAL);
        assertThat(mOutcomes).containsExactly("1 Committed");
        assertThat(mStore.counters().calls(StoreCallKind.READ)).isEqualTo(readsBefore + 1);
    }

    /**
     * Guards against records that are lost in an outage of the store, and against a backlog that is
     * written with one write for each record.
     */
    @Test
    void outageDelaysRecords() {
        mClient.faults().down(true);
        for (int i = 0; i < 50; i++) {
            append("r" + i);
            runFor(COMMIT_INTERVAL);
        }
        assertThat(mOutcomes).isEmpty();
        mClient.faults().down(false);
        runFor(Duration.ofSeconds(2));
        assertThat(mOutcomes).hasSize(50);
        assertThat(mJournal.segmentCount()).isEqualTo(2);
        assertThat(loadRecords(openSuccessorJournal())).hasSize(50);
    }

    /** Guards against a former owner that writes after a pause longer than its lease. */
    @Test
    void formerOwnerIsFenced() {
        append("1");
        runFor(COMMIT_INTERVAL);
        append("2");
        GroupCommitJournal successor = openSuccessorJournal();
        assertThat(loadRecords(successor)).containsExactly("1");
        runFor(COMMIT_INTERVAL);
        append("3");
        assertThat(mOutcomes).containsExactly("1 Committed", "2 Fenced", "3 Fenced").inOrder();
        assertThat(loadRecords(successor)).containsExactly("1");
        boolean accepted = mJournal.compact(new byte[1], o -> mOutcomes.add(outcomeName(o)));
        assertThat(accepted).isTrue();
        assertThat(mOutcomes).contains("Fenced");
    }

    /** Guards against a delayed write of a former owner that takes effect after the takeover. */
    @Test
    void delayedWriteOfFormerOwnerHasNoEffect() {
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.LATE_EFFECT, 1);
        mClient.faults().loseAnswers(StoreCallKind.READ, AnswerLoss.AFTER_EFFECT, 1);
        append("1");
        runFor(COMMIT_INTERVAL);
        GroupCommitJournal successor = openSuccessorJournal();
        assertThat(loadRecords(successor)).isEmpty();
        mStore.executeDelayedCalls();
        assertThat(loadRecords(successor)).isEmpty();
        runFor(Duration.ofSeconds(1));
        assertThat(mOutcomes).containsExactly("1 Fenced");
    }

    /** Guards against a write that took effect before the takeover but is reported as fenced. */
    @Test
    void storedRecordIsCommittedDespiteOwnerChange() {
        mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.AFTER_EFFECT, 1);
        mClient.faults().loseAnswers(StoreCallKind.READ, AnswerLoss.AFTER_EFFECT, 1);
        append("1");
        runFor(COMMIT_INTERVAL);
        append("2");
        assertThat(mOutcomes).isEmpty();
        assertThat(loadRecords(openSuccessorJournal())).containsExactly("1");
        runFor(Duration.ofSeconds(1));
        assertThat(mOutcomes).containsExactly("1 Committed", "2 Fenced").inOrder();
    }

    /**
     * Guards against compactions that lose or repeat records, with snapshots of one or more parts.
     */
    @ParameterizedTest
    @CsvSource({"1000, false", "899000, false", "2500000, false", "2500000, true"})
    void snapshotReplacesTheLog(int size, boolean loseResponses) {
        append("1");
        runFor(COMMIT_INTERVAL);
        append("2");
        byte[] snapshot = new byte[size];
        Arrays.fill(snapshot, (byte) 7);
        if (loseResponses) {
            mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.AFTER_EFFECT, 9);
        }
        for (int round = 0; round < 2; round++) {
            assertThat(mJournal.compact(snapshot, o -> mOutcomes.add(outcomeName(o)))).isTrue();
            append("3");
            runFor(Duration.ofSeconds(20));
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
        GroupCommitJournal successor = openSuccessorJournal();
        assertThat(awaitValue(successor.load()).snapshot()).isEqualTo(snapshot);
        assertThat(loadRecords(successor)).containsExactly("3");
        assertThat(mStore.counters().largestValue()).isLessThan(1_000_000L);
        int parts = size < 900_000 ? 0 : 3;
        assertThat(awaitValue(mStore.range("/kwb/p/0/part/", 99)).entries()).hasSize(parts);
    }

    /** Guards against a log of many segments that is read incompletely. */
    @Test
    void longLogIsReadInPages() {
        for (int i = 0; i < 700; i++) {
            append("r" + i);
            runFor(COMMIT_INTERVAL);
        }
        long readsBefore = mStore.counters().calls(StoreCallKind.READ);
        assertThat(loadRecords(openSuccessorJournal())).hasSize(700);
        assertThat(mStore.counters().calls(StoreCallKind.READ) - readsBefore).isLessThan(10L);
    }

    /** Guards against a corrupt log being mistaken for a shorter valid log. */
    @ParameterizedTest
    @CsvSource({"missing", "truncated", "changed", "other"})
    void corruptLogIsRejected(String corruption) {
        append("1");
        runFor(COMMIT_INTERVAL);
        append("2");
        runFor(COMMIT_INTERVAL);
        String key = awaitValue(mStore.range("/kwb/p/0/log/", 1)).first().orElseThrow().key();
        byte[] original = awaitValue(mStore.get(key)).first().orElseThrow().value();
        byte[] modified = original.clone();
        modified[modified.length / 2] ^= 1;
        Operation operation =
                switch (corruption) {
                    case "missing" -> new Operation.Delete(key);
                    case "truncated" ->
                            new Operation.Put(key, Arrays.copyOf(original, original.length - 3), 0);
                    case "changed" -> new Operation.Put(key, modified, 0);
                    default -> new Operation.Put(key, new byte[] {'{', '}'}, 0);
                };
        mStore.transact(Transaction.of(operation)).await().indefinitely();
        assertThat(openSuccessorJournal().load().await().indefinitely())
                .isInstanceOf(StoreResult.Rejected.class);
    }

    /** Guards against a queue that grows without bound while the store is unreachable. */
    @Test
    void fullQueueRejectsRecords() {
        mClient.faults().down(true);
        int accepted = 0;
        while (mJournal.append(new byte[10], outcome -> mOutcomes.add(outcomeName(outcome)))) {
            accepted++;
        }
        assertThat(accepted).isEqualTo(JournalSettings.standard().maxPendingRecords());
        mJournal.close();
        assertThat(mOutcomes).hasSize(accepted);
        assertThat(mOutcomes.getFirst()).isEqualTo("Closed");
    }

    /** Guards against an owner that appends to a log that it has not loaded. */
    @Test
    void appendBeforeLoadIsRejected() {
        GroupCommitJournal unread = openSuccessorJournal();
        assertThrows(IllegalStateException.class, () -> unread.append(new byte[1], outcome -> {}));
    }
}
