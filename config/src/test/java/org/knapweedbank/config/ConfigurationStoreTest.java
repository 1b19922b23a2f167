package org.knapweedbank.config;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.time.ManualClock;

class ConfigurationStoreTest {
    private final FakeStore mFake = new FakeStore();
    private final ManualClock mClock = new ManualClock(Instant.parse("2030-01-01T00:00:00Z"));
    private final ConfigurationStore mStore = new ConfigurationStore(mFake, mClock, "entry-1/1");
    private final ConfigurationStore mOther = new ConfigurationStore(mFake, mClock, "entry-2/1");

    private ApplyResult apply(long expect, int weight) {
        return mStore.apply(Documents.expecting(expect, "ana"), Documents.withWeight(weight))
                .await()
                .indefinitely();
    }

    private ApplyResult applyOther(long expect, int weight) {
        return mOther.apply(Documents.expecting(expect, "ben"), Documents.withWeight(weight))
                .await()
                .indefinitely();
    }

    private ApplyResult setRemoved(String dataCentre, boolean out) {
        return mStore.setRemoved(Documents.by("ana"), dataCentre, out).await().indefinitely();
    }

    private static ApplyResult applied(long generation) {
        return new ApplyResult.Applied(generation, true, List.of());
    }

    private ConfigurationState state() {
        var result = mStore.current().await().indefinitely();
        return ((StoreResult.Succeeded<ConfigurationState>) result).value();
    }

    /** Guards against a change that leaves out the document, the head or the audit record. */
    @Test
    void writesGenerationHeadAndAuditInOneTransaction() {
        assertThat(apply(0, 1)).isEqualTo(applied(1));

        assertThat(mFake.transactions()).isEqualTo(1);
        assertThat(mFake.keys("/kwb/"))
                .containsExactly(
                        "/kwb/audit/000000000001",
                        "/kwb/c/config/head",
                        "/kwb/config/gen/000000000001");
        ConfigurationHead head = state().head().orElseThrow();
        assertThat(head.operator()).isEqualTo("ana");
        assertThat(head.at()).isEqualTo("2030-01-01T00:00:00Z");
        assertThat(state().generation().orElseThrow().configuration().site()).isEqualTo("s");
    }

    /** Guards against the loser of a race overwriting the winner, or not learning of it. */
    @Test
    void secondOfTwoRacingOperatorsGetsConflict() {
        apply(0, 1);
        mFake.beforeTransaction(() -> assertThat(applyOther(1, 2)).isEqualTo(applied(2)));

        assertThat(apply(1, 3))
                .isEqualTo(new ApplyResult.Conflict(2, "ben", "2030-01-01T00:00:00Z"));
        assertThat(apply(1, 4)).isInstanceOf(ApplyResult.Conflict.class);
        assertThat(apply(7, 4)).isInstanceOf(ApplyResult.Conflict.class);
        assertThat(mFake.transactions()).isEqualTo(3);
    }

    /** Guards against an applied change being reported as failed when its answer is lost. */
    @Test
    void readsBackChangeWhoseAnswerWasLost() {
        mFake.fail(FakeStore.Fault.ANSWER_LOST);
        assertThat(apply(0, 1)).isEqualTo(applied(1));
        assertThat(state().number()).isEqualTo(1);
        assertThat(mFake.keys(ConfigurationKeys.AUDIT)).hasSize(1);
    }

    /** Guards against a superseded change being reported as a conflict when its answer is lost. */
    @Test
    void recognizesOwnChangeUnderALaterGeneration() {
        apply(0, 1);
        mFake.fail(FakeStore.Fault.ANSWER_LOST, FakeStore.Fault.NONE, FakeStore.Fault.REQUEST_LOST);
        mFake.beforeTransaction(() -> mFake.beforeTransaction(() -> applyOther(2, 3)));
        assertThat(apply(1, 2)).isEqualTo(applied(2));
        assertThat(state().number()).isEqualTo(3);
    }

    /** Guards against a delayed request taking effect a second time, or over a later change. */
    @Test
    void delayedRequestHasNoSecondEffect() {
        mFake.fail(FakeStore.Fault.REQUEST_DELAYED);
        assertThat(apply(0, 1)).isEqualTo(applied(1));
        applyOther(1, 2);
        mFake.deliverDelayed();
        assertThat(state().number()).isEqualTo(2);
    }

    /** Guards against "not applied" being claimed for a change that may still take effect. */
    @Test
    void reportsUnknownWhileNoAnswerArrives() {
        mFake.fail(
                FakeStore.Fault.REQUEST_DELAYED,
                FakeStore.Fault.REQUEST_LOST,
                FakeStore.Fault.DOWN);
        assertThat(apply(0, 1)).isInstanceOf(ApplyResult.Unknown.class);
        mFake.deliverDelayed();
        assertThat(state().number()).isEqualTo(1);
    }

    /** Guards against a change being reported as unknown when the store was never reached. */
    @Test
    void reportsUnavailableWhenStoreIsDown() {
        mFake.fail(FakeStore.Fault.DOWN);
        assertThat(apply(0, 1)).isEqualTo(new ApplyResult.Unavailable("store down"));
        mFake.readsFail(true);
        assertThat(apply(0, 1)).isEqualTo(new ApplyResult.Unavailable("store down"));
        mFake.readsFail(false);
        assertThat(state()).isEqualTo(ConfigurationState.EMPTY);
    }

    /** Guards against a client's repeat of its own change being reported as a conflict. */
    @Test
    void recognizesRepeatedChangeOfClient() {
        ChangeRequest request = new ChangeRequest("ana", OptionalLong.of(0), "change-1", false);
        byte[] document = Documents.withWeight(1);
        assertThat(mStore.apply(request, document).await().indefinitely()).isEqualTo(applied(1));
        assertThat(mOther.apply(request, document).await().indefinitely()).isEqualTo(applied(1));
        applyOther(1, 2);
        assertThat(mOther.apply(request, document).await().indefinitely()).isEqualTo(applied(1));
    }

    /** Guards against an apply bringing a data centre back, or a repeat writing a generation. */
    @Test
    void applyKeepsDataCentreOut() {
        apply(0, 1);
        assertThat(setRemoved("b", true)).isEqualTo(applied(2));
        assertThat(setRemoved("b", true)).isEqualTo(new ApplyResult.Applied(2, false, List.of()));
        assertThat(apply(2, 5)).isEqualTo(applied(3));
        assertThat(state().generation().orElseThrow().removed()).containsExactly("b");
        assertThat(apply(3, 5)).isEqualTo(new ApplyResult.Applied(3, false, List.of()));
        assertThat(setRemoved("b", false)).isEqualTo(applied(4));
        assertThat(state().head().orElseThrow().removed()).isEmpty();
    }

    /** Guards against the last data centre leaving service without a confirmation. */
    @Test
    void lastDataCentreNeedsConfirmation() {
        apply(0, 1);
        setRemoved("a", true);
        assertThat(setRemoved("b", true)).isInstanceOf(ApplyResult.Rejected.class);
        assertThat(setRemoved("c", true)).isInstanceOf(ApplyResult.Rejected.class);
        ChangeRequest confirmed = new ChangeRequest("ana", OptionalLong.empty(), "", true);
        assertThat(mStore.setRemoved(confirmed, "b", true).await().indefinitely())
                .isEqualTo(applied(3));
        assertThat(apply(3, 2)).isInstanceOf(ApplyResult.Rejected.class);
    }

    /** Guards against a lost race undoing the change of another operator. */
    @Test
    void dataCentreChangeIsRepeatedOnTheNewGeneration() {
        apply(0, 1);
        mFake.beforeTransaction(() -> applyOther(1, 9));
        assertThat(setRemoved("a", true)).isEqualTo(applied(3));
        assertThat(state().generation().orElseThrow().configuration().teams().getFirst().weight())
                .isEqualTo(9.0);
    }

    /** Guards against generations filling the store, and against gaps in the audit list. */
    @Test
    void keepsBoundedGenerationsAndListsAudit() {
        int changes = ConfigurationLimits.KEPT_GENERATIONS + 10;
        for (int i = 0; i < changes; i++) {
            apply(i, i + 1);
        }
        assertThat(mFake.keys(ConfigurationKeys.GENERATIONS))
                .hasSize(ConfigurationLimits.KEPT_GENERATIONS);

        assertThat(audit(3, OptionalLong.empty()).stream().map(AuditRecord::generation))
                .containsExactly((long) changes, changes - 1L, changes - 2L)
                .inOrder();
        assertThat(audit(5, OptionalLong.of(3)).stream().map(AuditRecord::generation))
                .containsExactly(2L, 1L)
                .inOrder();
    }

    private List<AuditRecord> audit(int limit, OptionalLong before) {
        var result = mStore.audit(limit, before).await().indefinitely();
        return ((StoreResult.Succeeded<List<AuditRecord>>) result).value();
    }

    /** Guards against a change in a store that lost data, which no entry would take. */
    @Test
    void refusesChangeWhenTheStoreHoldsAnOlderGeneration() {
        apply(0, 1);
        ChangeRequest request = new ChangeRequest("ana", OptionalLong.of(1), "", false, 2);
        assertThat(mStore.apply(request, Documents.withWeight(2)).await().indefinitely())
                .isInstanceOf(ApplyResult.Unavailable.class);
        assertThat(mStore.setRemoved(request, "a", true).await().indefinitely())
                .isInstanceOf(ApplyResult.Unavailable.class);
        assertThat(mFake.transactions()).isEqualTo(1);
    }

    /** Guards against a rejected document reaching the store. */
    @Test
    void rejectedDocumentWritesNothing() {
        ApplyResult result =
                mStore.apply(Documents.expecting(0, "ana"), Documents.bytes("{\"site\": 1}"))
                        .await()
                        .indefinitely();
        assertThat(((ApplyResult.Rejected) result).errors()).hasSize(2);
        assertThat(mFake.transactions()).isEqualTo(0);
    }
}
