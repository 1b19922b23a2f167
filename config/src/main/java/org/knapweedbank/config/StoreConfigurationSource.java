package org.knapweedbank.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.cache.PrefixView;

/**
 * The configuration in force at an entry, from the store's head and from peers. It takes the
 * highest generation offered and never goes back. Thread-safe.
 */
public final class StoreConfigurationSource implements ConfigurationSource {
    private static final Logger LOG = LogManager.getLogger(StoreConfigurationSource.class);

    private final PrefixView mView;
    private final KeyValueStore mStore;
    private final Executor mExecutor;
    private final List<Consumer<SiteConfiguration>> mListeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean mReading = new AtomicBoolean();
    private final Object mLock = new Object();

    /** Document of the newest generation that was read from the store, with its digest. */
    private volatile Loaded mLoaded;

    private volatile SiteConfiguration mCurrent;
    private volatile long mConfirmedNanos = Long.MIN_VALUE;

    private record Loaded(String digest, StoredGeneration generation) {}

    /**
     * Creates the source; {@link #start()} starts it.
     *
     * @param view view of {@code /kwb/c/}
     * @param store from which documents are read
     */
    public StoreConfigurationSource(PrefixView view, KeyValueStore store) {
        this(view, store, Runnable::run);
    }

    /**
     * Creates the source; {@link #start()} starts it.
     *
     * @param view view of {@code /kwb/c/}
     * @param store from which documents are read
     * @param executor decodes documents and calls the listeners; a large document takes some
     *     milliseconds, for which an event loop must not wait
     */
    public StoreConfigurationSource(PrefixView view, KeyValueStore store, Executor executor) {
        mView = view;
        mStore = store;
        mExecutor = executor;
    }

    /** Subscribes to the head and reads the generation that it names. */
    public void start() {
        mView.subscribe(ConfigurationKeys.HEAD, this::refresh);
        refresh();
    }

    /**
     * Reads the document of the head's generation if it is newer than the current one. Called after
     * each change of the head; the entry also calls it each second, so that a failed read is
     * repeated.
     */
    public void refresh() {
        Optional<ConfigurationHead> head = head();
        if (head.isEmpty() || head.get().generation() <= number()) {
            return;
        }
        Loaded loaded = mLoaded;
        if (loaded != null && loaded.digest().equals(head.get().digest())) {
            take(head.get(), loaded.generation());
        } else if (mReading.compareAndSet(false, true)) {
            read(head.get());
        }
    }

    /**
     * Offers a generation that a peer knows.
     *
     * @param configuration the configuration
     * @return true if it is newer than the current one and was taken
     */
    public boolean offer(SiteConfiguration configuration) {
        synchronized (mLock) {
            if (configuration.generation() <= number()) {
                return false;
            }
            mCurrent = configuration;
            LOG.info(
                    "[config] generation {} in force, out of service: {}",
                    configuration.generation(),
                    configuration.removed());
            mListeners.forEach(listener -> listener.accept(configuration));
            return true;
        }
    }

    @Override
    public Optional<SiteConfiguration> current() {
        return Optional.ofNullable(mCurrent);
    }

    /** Does not advance while the view names a generation whose document is not yet known here. */
    @Override
    public long confirmedNanos() {
        // The view's time is read before its head: the head is then at least as new as that time.
        long confirmed = mView.confirmedNanos();
        Optional<ConfigurationHead> head = head();
        synchronized (mLock) {
            if (head.isPresent() && number() >= head.get().generation()) {
                mConfirmedNanos = Math.max(mConfirmedNanos, confirmed);
            }
            return mConfirmedNanos;
        }
    }

    @Override
    public void subscribe(Consumer<SiteConfiguration> listener) {
        synchronized (mLock) {
            mListeners.add(listener);
            current().ifPresent(listener);
        }
    }

    private void read(ConfigurationHead head) {
        mStore.get(ConfigurationKeys.generation(head.generation()))
                .subscribe()
                .with(
                        result -> {
                            mReading.set(false);
                            mExecutor.execute(() -> received(head, result));
                        },
                        failure -> {
                            mReading.set(false);
                            LOG.error("[config] reading generation failed", failure);
                        });
    }

    private void received(ConfigurationHead head, StoreResult<KeyRange> result) {
        if (!(result instanceof StoreResult.Succeeded<KeyRange>(KeyRange range))) {
            LOG.warn("[config] generation {} not read yet: {}", head.generation(), reason(result));
            return;
        }
        Optional<StoredGeneration> read = GenerationDocuments.verified(head, range);
        if (read.isEmpty()) {
            LOG.error(
                    "[config] document of generation {} is damaged; generation {} stays in force",
                    head.generation(),
                    number());
            return;
        }
        mLoaded = new Loaded(head.digest(), read.get());
        take(head, read.get());
        // The head may have changed during the read.
        refresh();
    }

    private void take(ConfigurationHead head, StoredGeneration document) {
        StoredGeneration generation =
                new StoredGeneration(head.generation(), head.removed(), document.document());
        offer(generation.configuration());
        confirmedNanos();
    }

    private long number() {
        SiteConfiguration current = mCurrent;
        return current == null ? 0 : current.generation();
    }

    private Optional<ConfigurationHead> head() {
        Optional<KeyEntry> entry = mView.get(ConfigurationKeys.HEAD);
        try {
            return entry.map(e -> ConfigurationCodec.read(e.value(), ConfigurationHead.class));
        } catch (ConfigurationFormatException e) {
            LOG.error("[config] the head in the store is malformed", e);
            return Optional.empty();
        }
    }

    private static String reason(StoreResult<KeyRange> result) {
        return switch (result) {
            case StoreResult.Succeeded<KeyRange> succeeded -> "";
            case StoreResult.Rejected<KeyRange>(String reason) -> reason;
            case StoreResult.Unavailable<KeyRange>(String reason) -> reason;
            case StoreResult.Unknown<KeyRange>(String reason) -> reason;
        };
    }
}
