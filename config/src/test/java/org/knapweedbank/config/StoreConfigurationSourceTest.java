package org.knapweedbank.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.time.ManualClock;

class StoreConfigurationSourceTest {
    private final FakeStore mFake = new FakeStore();
    private final FakeView mView = new FakeView();
    private final ConfigurationStore mStore =
            new ConfigurationStore(mFake, new ManualClock(), "entry-1/1");
    private final StoreConfigurationSource mSource = new StoreConfigurationSource(mView, mFake);
    private final List<Long> mSeen = new ArrayList<>();

    private void apply(long expect, int weight) {
        mStore.apply(Documents.expecting(expect, "ana"), Documents.withWeight(weight))
                .await()
                .indefinitely();
    }

    private KeyEntry head() {
        return mFake.entry(ConfigurationKeys.HEAD);
    }

    private void start() {
        mSource.subscribe(configuration -> mSeen.add(configuration.generation()));
        mSource.start();
    }

    /** Guards against a late older head putting an older generation back in force. */
    @Test
    void neverGoesBack() {
        start();
        assertThat(mSource.current()).isEmpty();
        apply(0, 1);
        KeyEntry first = head();
        mView.show(first, 10);
        apply(1, 2);
        mView.show(head(), 20);
        mView.show(first, 30);
        assertThat(mSeen).containsExactly(1L, 2L).inOrder();
        assertThat(mSource.current().orElseThrow().generation()).isEqualTo(2);
    }

    /** Guards against a view counting as confirmed while its document is not known. */
    @Test
    void confirmationWaitsForTheDocument() {
        apply(0, 1);
        mView.show(head(), 10);
        start();
        assertThat(mSource.confirmedNanos()).isEqualTo(10);

        apply(1, 2);
        mFake.readsFail(true);
        mView.show(head(), 20);
        assertThat(mSource.confirmedNanos()).isEqualTo(10);
        assertThat(mSource.current().orElseThrow().generation()).isEqualTo(1);

        mFake.readsFail(false);
        mSource.refresh();
        assertThat(mSource.confirmedNanos()).isEqualTo(20);
        assertThat(mSource.current().orElseThrow().generation()).isEqualTo(2);
    }

    /** Guards against a data centre staying in force because a second read fails. */
    @Test
    void removalIsInForceWithoutASecondRead() {
        apply(0, 1);
        mView.show(head(), 10);
        start();
        mStore.setRemoved(Documents.by("ana"), "b", true).await().indefinitely();
        mFake.readsFail(true);
        mView.show(head(), 20);
        assertThat(mSource.current().orElseThrow().removed())
                .containsExactly(new DataCentreId("b"));
    }

    /** Guards against a restarted source missing a generation that only a peer knows. */
    @Test
    void takesHigherGenerationFromPeer() {
        apply(0, 1);
        mView.show(head(), 10);
        start();
        SiteConfiguration one = mSource.current().orElseThrow();
        SiteConfiguration three =
                ConfigurationCodec.decode(
                        ConfigurationCodec.encode(one)
                                .replace("\"generation\":1", "\"generation\":3"));
        assertThat(mSource.offer(three)).isTrue();
        assertThat(mSource.offer(one)).isFalse();
        apply(1, 2);
        mView.show(head(), 20);
        assertThat(mSeen).containsExactly(1L, 3L).inOrder();
    }

    /** Guards against a damaged document replacing the one in force. */
    @Test
    void keepsConfigurationWhenDocumentIsDamaged() {
        apply(0, 1);
        mView.show(head(), 10);
        start();
        apply(1, 2);
        mFake.put(ConfigurationKeys.generation(2), Documents.bytes("{\"generation\": 2}"));
        mView.show(head(), 20);
        assertThat(mSource.current().orElseThrow().generation()).isEqualTo(1);
        assertThat(mSource.confirmedNanos()).isEqualTo(10);
    }
}
