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
 * Provides the configuration in force at an entry, which it learns from the head key in the store
 * and from peers. It uses the highest generation seen and never returns to a lower one.
 * Thread-safe.
 */
public final class StoreConfigurationSource implements ConfigurationSource {
    private static final Logger LOG = LogManager.getLogger(StoreConfigurationSource.class);

    private final PrefixView mView;
    private final KeyValueStore mStore;
    private final Executor mDecodeExecutor;
    private final List<Consumer<SiteConfiguration>> mListeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean mReadInProgress = new AtomicBoolean();
    private final Object mLock = new Object();

    /** Last generation whose document was read from the store, or null before the first read. */
    private volatile LoadedGeneration mLoadedGeneration;

    private volatile SiteConfiguration mCurrent;
    private volatile long mConfirmedAtNanos = Long.MIN_VALUE;

    /** A stored generation and the digest of its document. */
    private record LoadedGeneration(String digest, StoredGeneration generation) {}

    /**
     * Creates a source that decodes documents on the calling thread. {@link #start()} starts it.
     *
     * @param view view of the keys under {@code /kwb/c/}
     * @param store store from which documents are read
     */
    public StoreConfigurationSource(PrefixView view, KeyValueStore store) {
        this(view, store, Runnable::run);
    }

    /**
     * Creates a source. {@link #start()} starts it.
     *
     * @param view view of the keys under {@code /kwb/c/}
     * @param store store from which documents are read
     * @param executor executor that decodes documents and calls the listeners; decoding a large
     *     document takes some milliseconds and must not block an event loop
     */
    public StoreConfigurationSource(PrefixView view, KeyValueStore store, Executor executor) {
        mView = view;
        mStore = store;
        mDecodeExecutor = executor;
    }

    /** Subscribes to changes of the head key and reads the generation that the head refers to. */
    public void start() {
        mView.subscribe(ConfigurationKeys.HEAD, this::refresh);
        refresh();
    }

    /**
     * Reads the document of the generation in the head if that generation is newer than the current
     * one. Runs after each change of the head; the entry also calls it every second to retry failed
     * reads.
     */
    public void refresh() {
        Optional<ConfigurationHead> head = decodeHead();
        if (head.isEmpty() || head.get().generation() <= currentGeneration()) {
            return;
        }
        LoadedGeneration loaded = mLoadedGeneration;
        if (loaded != null && loaded.digest().equals(head.get().digest())) {
            offerStored(head.get(), loaded.generation());
        } else if (mReadInProgress.compareAndSet(false, true)) {
            readDocument(head.get());
        }
    }

    /**
     * Adopts a configuration, for example one received from a peer, if it is newer than the current
     * one, and notifies the listeners.
     *
     * @param configuration the configuration
     * @return true if it was newer than the current one and was adopted
     */
    public boolean adoptIfNewer(SiteConfiguration configuration) {
        synchronized (mLock) {
            if (configuration.generation() <= currentGeneration()) {
                return false;
            }
            mCurrent = configuration;
            LOG.info(
                    "[config] generation {} in force, out of service: {}",
                    configuration.generation(),
                    configuration.dataCentresOutOfService());
            mListeners.forEach(listener -> listener.accept(configuration));
            return true;
        }
    }

    @Override
    public Optional<SiteConfiguration> current() {
        return Optional.ofNullable(mCurrent);
    }

    /**
     * {@inheritDoc}
     *
     * <p>The time does not advance while the head in the view refers to a generation whose document
     * has not been read yet.
     */
    @Override
    public long confirmedNanos() {
        // Read the time before the head, so that the head is at least as recent as the time.
        long viewConfirmedNanos = mView.confirmedNanos();
        Optional<ConfigurationHead> head = decodeHead();
        synchronized (mLock) {
            if (head.isPresent() && currentGeneration() >= head.get().generation()) {
                mConfirmedAtNanos = Math.max(mConfirmedAtNanos, viewConfirmedNanos);
            }
            return mConfirmedAtNanos;
        }
    }

    @Override
    public void subscribe(Consumer<SiteConfiguration> listener) {
        synchronized (mLock) {
            mListeners.add(listener);
            current().ifPresent(listener);
        }
    }

    private void readDocument(ConfigurationHead head) {
        mStore.get(ConfigurationKeys.generationKey(head.generation()))
                .subscribe()
                .with(
                        result -> {
                            mReadInProgress.set(false);
                            mDecodeExecutor.execute(() -> handleDocument(head, result));
                        },
                        failure -> {
                            mReadInProgress.set(false);
                            LOG.error(
                                    "[config] reading a generation from the store failed", failure);
                        });
    }

    private void handleDocument(ConfigurationHead head, StoreResult<KeyRange> result) {
        if (!(result instanceof StoreResult.Succeeded<KeyRange>(KeyRange range))) {
            LOG.warn(
                    "[config] generation {} not read yet: {}",
                    head.generation(),
                    failureReason(result));
            return;
        }
        Optional<StoredGeneration> verified = GenerationDocuments.decodeVerified(head, range);
        if (verified.isEmpty()) {
            LOG.error(
                    "[config] document of generation {} is damaged; generation {} stays in force",
                    head.generation(),
                    currentGeneration());
            return;
        }
        mLoadedGeneration = new LoadedGeneration(head.digest(), verified.get());
        offerStored(head, verified.get());
        // The head may have changed while the document was read.
        refresh();
    }

    private void offerStored(ConfigurationHead head, StoredGeneration document) {
        StoredGeneration generation =
                new StoredGeneration(head.generation(), head.removed(), document.document());
        adoptIfNewer(generation.configuration());
        confirmedNanos();
    }

    private long currentGeneration() {
        SiteConfiguration current = mCurrent;
        return current == null ? 0 : current.generation();
    }

    private Optional<ConfigurationHead> decodeHead() {
        Optional<KeyEntry> entry = mView.get(ConfigurationKeys.HEAD);
        try {
            return entry.map(
                    e -> ConfigurationCodec.decodeJson(e.value(), ConfigurationHead.class));
        } catch (ConfigurationFormatException e) {
            LOG.error("[config] the head in the store is malformed", e);
            return Optional.empty();
        }
    }

    private static String failureReason(StoreResult<KeyRange> result) {
        return switch (result) {
            case StoreResult.Succeeded<KeyRange> succeeded -> "";
            case StoreResult.Rejected<KeyRange>(String reason) -> reason;
            case StoreResult.Unavailable<KeyRange>(String reason) -> reason;
            case StoreResult.Unknown<KeyRange>(String reason) -> reason;
        };
    }
}
