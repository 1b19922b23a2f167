package org.knapweedbank.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.time.ManualClock;

class StoreConfigurationSourceTest {
    private final FakeStore mKeyValueStore = new FakeStore();
    private final FakeView mView = new FakeView();
    private final ConfigurationStore mConfigurationStore =
            new ConfigurationStore(mKeyValueStore, new ManualClock(), "entry-1/1");
    private final StoreConfigurationSource mSource =
            new StoreConfigurationSource(mView, mKeyValueStore);
    private final List<Long> mNotifiedGenerations = new ArrayList<>();

    private void apply(long expectedGeneration, int weight) {
        mConfigurationStore
                .apply(
                        Documents.requestExpecting(expectedGeneration, "ana"),
                        Documents.withWeight(weight))
                .await()
                .indefinitely();
    }

    private KeyEntry head() {
        return mKeyValueStore.entry(ConfigurationKeys.HEAD);
    }

    private void start() {
        mSource.subscribe(configuration -> mNotifiedGenerations.add(configuration.generation()));
        mSource.start();
    }

    /** Guards against returning to an older generation when an older head arrives late. */
    @Test
    void neverReturnsToAnOlderGeneration() {
        start();
        assertThat(mSource.current()).isEmpty();
        apply(0, 1);
        KeyEntry first = head();
        mView.setHead(first, 10);
        apply(1, 2);
        mView.setHead(head(), 20);
        mView.setHead(first, 30);
        assertThat(mNotifiedGenerations).containsExactly(1L, 2L).inOrder();
        assertThat(mSource.current().orElseThrow().generation()).isEqualTo(2);
    }

    /** Guards against confirming a view whose document has not been read. */
    @Test
    void confirmedTimeWaitsForTheDocument() {
        apply(0, 1);
        mView.setHead(head(), 10);
        start();
        assertThat(mSource.confirmedNanos()).isEqualTo(10);

        apply(1, 2);
        mKeyValueStore.setFailReads(true);
        mView.setHead(head(), 20);
        assertThat(mSource.confirmedNanos()).isEqualTo(10);
        assertThat(mSource.current().orElseThrow().generation()).isEqualTo(1);

        mKeyValueStore.setFailReads(false);
        mSource.refresh();
        assertThat(mSource.confirmedNanos()).isEqualTo(20);
        assertThat(mSource.current().orElseThrow().generation()).isEqualTo(2);
    }

    /**
     * Guards against a data centre that stays in service after its removal because reading the
     * document fails.
     */
    @Test
    void appliesRemovalWithoutReadingTheDocument() {
        apply(0, 1);
        mView.setHead(head(), 10);
        start();
        mConfigurationStore
                .setOutOfService(Documents.requestBy("ana"), "b", true)
                .await()
                .indefinitely();
        mKeyValueStore.setFailReads(true);
        mView.setHead(head(), 20);
        assertThat(mSource.current().orElseThrow().dataCentresOutOfService())
                .containsExactly(new DataCentreId("b"));
    }

    /** Guards against ignoring a generation that only a peer knows, as after a restart. */
    @Test
    void acceptsHigherGenerationFromPeer() {
        apply(0, 1);
        mView.setHead(head(), 10);
        start();
        SiteConfiguration one = mSource.current().orElseThrow();
        SiteConfiguration three =
                ConfigurationCodec.decode(
                        ConfigurationCodec.encode(one)
                                .replace("\"generation\":1", "\"generation\":3"));
        assertThat(mSource.adoptIfNewer(three)).isTrue();
        assertThat(mSource.adoptIfNewer(one)).isFalse();
        apply(1, 2);
        mView.setHead(head(), 20);
        assertThat(mNotifiedGenerations).containsExactly(1L, 3L).inOrder();
    }

    /** Guards against replacing the current configuration with a damaged document. */
    @Test
    void keepsConfigurationWhenDocumentIsDamaged() {
        apply(0, 1);
        mView.setHead(head(), 10);
        start();
        apply(1, 2);
        mKeyValueStore.put(
                ConfigurationKeys.generationKey(2), Documents.bytes("{\"generation\": 2}"));
        mView.setHead(head(), 20);
        assertThat(mSource.current().orElseThrow().generation()).isEqualTo(1);
        assertThat(mSource.confirmedNanos()).isEqualTo(10);
    }
}
