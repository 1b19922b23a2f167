package org.knapweedbank.config;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.time.ManualClock;

class ConfigurationStoreTest {
    private final FakeStore mKeyValueStore = new FakeStore();
    private final ManualClock mClock = new ManualClock(Instant.parse("2030-01-01T00:00:00Z"));
    private final ConfigurationStore mConfigurationStore =
            new ConfigurationStore(mKeyValueStore, mClock, "entry-1/1");
    private final ConfigurationStore mOtherEntryStore =
            new ConfigurationStore(mKeyValueStore, mClock, "entry-2/1");

    private ApplyResult apply(long expectedGeneration, int weight) {
        return mConfigurationStore
                .apply(
                        Documents.requestExpecting(expectedGeneration, "ana"),
                        Documents.withWeight(weight))
                .await()
                .indefinitely();
    }

    private ApplyResult applyAtOtherEntry(long expectedGeneration, int weight) {
        return mOtherEntryStore
                .apply(
                        Documents.requestExpecting(expectedGeneration, "ben"),
                        Documents.withWeight(weight))
                .await()
                .indefinitely();
    }

    private ApplyResult setRemoved(String dataCentre, boolean remove) {
        return mConfigurationStore
                .setOutOfService(Documents.requestBy("ana"), dataCentre, remove)
                .await()
                .indefinitely();
    }

    private static ApplyResult applied(long generation) {
        return new ApplyResult.Applied(generation, true, List.of());
    }

    private ConfigurationState state() {
        var result = mConfigurationStore.current().await().indefinitely();
        return ((StoreResult.Succeeded<ConfigurationState>) result).value();
    }

    /** Guards against a change that does not write the document, the head and the audit record. */
    @Test
    void writesGenerationHeadAndAuditInOneTransaction() {
        assertThat(apply(0, 1)).isEqualTo(applied(1));

        assertThat(mKeyValueStore.transactionCount()).isEqualTo(1);
        assertThat(mKeyValueStore.keys("/kwb/"))
                .containsExactly(
                        "/kwb/audit/000000000001",
                        "/kwb/c/config/head",
                        "/kwb/config/gen/000000000001");
        ConfigurationHead head = state().head().orElseThrow();
        assertThat(head.operator()).isEqualTo("ana");
        assertThat(head.at()).isEqualTo("2030-01-01T00:00:00Z");
        assertThat(state().generation().orElseThrow().configuration().site()).isEqualTo("s");
    }

    /** Guards against the later of two concurrent changes overwriting the earlier one unnoticed. */
    @Test
    void secondOfTwoRacingOperatorsGetsConflict() {
        apply(0, 1);
        mKeyValueStore.runBeforeNextTransaction(
                () -> assertThat(applyAtOtherEntry(1, 2)).isEqualTo(applied(2)));

        assertThat(apply(1, 3))
                .isEqualTo(new ApplyResult.Conflict(2, "ben", "2030-01-01T00:00:00Z"));
        assertThat(apply(1, 4)).isInstanceOf(ApplyResult.Conflict.class);
        assertThat(apply(7, 4)).isInstanceOf(ApplyResult.Conflict.class);
        assertThat(mKeyValueStore.transactionCount()).isEqualTo(3);
    }

    /** Guards against reporting an applied change as failed when its response is lost. */
    @Test
    void reportsAppliedWhenTheResponseIsLost() {
        mKeyValueStore.failNextTransactions(FakeStore.Fault.ANSWER_LOST);
        assertThat(apply(0, 1)).isEqualTo(applied(1));
        assertThat(state().generationNumber()).isEqualTo(1);
        assertThat(mKeyValueStore.keys(ConfigurationKeys.AUDIT_PREFIX)).hasSize(1);
    }

    /**
     * Guards against reporting an applied change as a conflict when its response is lost and
     * another change follows before the retry.
     */
    @Test
    void recognizesOwnChangeAfterALaterGeneration() {
        apply(0, 1);
        mKeyValueStore.failNextTransactions(
                FakeStore.Fault.ANSWER_LOST, FakeStore.Fault.NONE, FakeStore.Fault.REQUEST_LOST);
        mKeyValueStore.runBeforeNextTransaction(
                () -> mKeyValueStore.runBeforeNextTransaction(() -> applyAtOtherEntry(2, 3)));
        assertThat(apply(1, 2)).isEqualTo(applied(2));
        assertThat(state().generationNumber()).isEqualTo(3);
    }

    /** Guards against a delayed request taking effect twice or overwriting a later change. */
    @Test
    void delayedRequestIsNotAppliedTwice() {
        mKeyValueStore.failNextTransactions(FakeStore.Fault.REQUEST_DELAYED);
        assertThat(apply(0, 1)).isEqualTo(applied(1));
        applyAtOtherEntry(1, 2);
        mKeyValueStore.deliverDelayed();
        assertThat(state().generationNumber()).isEqualTo(2);
    }

    /** Guards against reporting a change as not applied while it may still take effect. */
    @Test
    void reportsUnknownWhenNoAttemptIsAnswered() {
        mKeyValueStore.failNextTransactions(
                FakeStore.Fault.REQUEST_DELAYED,
                FakeStore.Fault.REQUEST_LOST,
                FakeStore.Fault.DOWN);
        assertThat(apply(0, 1)).isInstanceOf(ApplyResult.Unknown.class);
        mKeyValueStore.deliverDelayed();
        assertThat(state().generationNumber()).isEqualTo(1);
    }

    /** Guards against reporting an unknown outcome when no request reached the store. */
    @Test
    void reportsUnavailableWhenStoreIsDown() {
        mKeyValueStore.failNextTransactions(FakeStore.Fault.DOWN);
        assertThat(apply(0, 1)).isEqualTo(new ApplyResult.Unavailable("store down"));
        mKeyValueStore.setFailReads(true);
        assertThat(apply(0, 1)).isEqualTo(new ApplyResult.Unavailable("store down"));
        mKeyValueStore.setFailReads(false);
        assertThat(state()).isEqualTo(ConfigurationState.EMPTY);
    }

    /** Guards against reporting a conflict when a client retries its own change. */
    @Test
    void recognizesRetriedChangeOfClient() {
        ChangeRequest request = new ChangeRequest("ana", OptionalLong.of(0), "change-1", false);
        byte[] document = Documents.withWeight(1);
        assertThat(mConfigurationStore.apply(request, document).await().indefinitely())
                .isEqualTo(applied(1));
        assertThat(mOtherEntryStore.apply(request, document).await().indefinitely())
                .isEqualTo(applied(1));
        applyAtOtherEntry(1, 2);
        assertThat(mOtherEntryStore.apply(request, document).await().indefinitely())
                .isEqualTo(applied(1));
    }

    /**
     * Guards against an apply that returns a data centre to service, and against writing a new
     * generation for a change without effect.
     */
    @Test
    void applyKeepsDataCentreOutOfService() {
        apply(0, 1);
        assertThat(setRemoved("b", true)).isEqualTo(applied(2));
        assertThat(setRemoved("b", true)).isEqualTo(new ApplyResult.Applied(2, false, List.of()));
        assertThat(apply(2, 5)).isEqualTo(applied(3));
        assertThat(state().generation().orElseThrow().removed()).containsExactly("b");
        assertThat(apply(3, 5)).isEqualTo(new ApplyResult.Applied(3, false, List.of()));
        assertThat(setRemoved("b", false)).isEqualTo(applied(4));
        assertThat(state().head().orElseThrow().removed()).isEmpty();
    }

    /** Guards against taking the last data centre out of service without a confirmation. */
    @Test
    void lastDataCentreNeedsConfirmation() {
        apply(0, 1);
        setRemoved("a", true);
        assertThat(setRemoved("b", true)).isInstanceOf(ApplyResult.Rejected.class);
        assertThat(setRemoved("c", true)).isInstanceOf(ApplyResult.Rejected.class);
        ChangeRequest confirmed = new ChangeRequest("ana", OptionalLong.empty(), "", true);
        assertThat(mConfigurationStore.setOutOfService(confirmed, "b", true).await().indefinitely())
                .isEqualTo(applied(3));
        assertThat(apply(3, 2)).isInstanceOf(ApplyResult.Rejected.class);
    }

    /** Guards against overwriting the change of another operator after a lost race. */
    @Test
    void retriesDataCentreChangeOnTheNewGeneration() {
        apply(0, 1);
        mKeyValueStore.runBeforeNextTransaction(() -> applyAtOtherEntry(1, 9));
        assertThat(setRemoved("a", true)).isEqualTo(applied(3));
        assertThat(state().generation().orElseThrow().configuration().teams().getFirst().weight())
                .isEqualTo(9.0);
    }

    /** Guards against unlimited growth of the stored generations and gaps in the audit list. */
    @Test
    void limitsKeptGenerationsAndListsAuditNewestFirst() {
        int changes = ConfigurationLimits.KEPT_GENERATIONS + 10;
        for (int i = 0; i < changes; i++) {
            apply(i, i + 1);
        }
        assertThat(mKeyValueStore.keys(ConfigurationKeys.GENERATION_PREFIX))
                .hasSize(ConfigurationLimits.KEPT_GENERATIONS);

        assertThat(audit(3, OptionalLong.empty()).stream().map(AuditRecord::generation))
                .containsExactly((long) changes, changes - 1L, changes - 2L)
                .inOrder();
        assertThat(audit(5, OptionalLong.of(3)).stream().map(AuditRecord::generation))
                .containsExactly(2L, 1L)
                .inOrder();
    }

    private List<AuditRecord> audit(int limit, OptionalLong before) {
        var result = mConfigurationStore.audit(limit, before).await().indefinitely();
        return ((StoreResult.Succeeded<List<AuditRecord>>) result).value();
    }

    /** Guards against a change in a store that lost data, which no entry would put in force. */
    @Test
    void refusesChangeWhenTheStoreHoldsAnOlderGeneration() {
        apply(0, 1);
        ChangeRequest request = new ChangeRequest("ana", OptionalLong.of(1), "", false, 2);
        assertThat(
                        mConfigurationStore
                                .apply(request, Documents.withWeight(2))
                                .await()
                                .indefinitely())
                .isInstanceOf(ApplyResult.Unavailable.class);
        assertThat(mConfigurationStore.setOutOfService(request, "a", true).await().indefinitely())
                .isInstanceOf(ApplyResult.Unavailable.class);
        assertThat(mKeyValueStore.transactionCount()).isEqualTo(1);
    }

    /** Guards against writing a rejected document to the store. */
    @Test
    void rejectedDocumentWritesNothing() {
        ApplyResult result =
                mConfigurationStore
                        .apply(
                                Documents.requestExpecting(0, "ana"),
                                Documents.bytes("{\"site\": 1}"))
                        .await()
                        .indefinitely();
        assertThat(((ApplyResult.Rejected) result).errors()).hasSize(2);
        assertThat(mKeyValueStore.transactionCount()).isEqualTo(0);
    }
}
