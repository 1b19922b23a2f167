package org.knapweedbank.config;

import java.util.List;
import java.util.Optional;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.cache.PrefixView;

/** View of the head key whose entry is set by the test. */
final class FakeView implements PrefixView {
    private KeyEntry mHead;
    private long mConfirmedNanos = Long.MIN_VALUE;
    private Runnable mListener = () -> {};

    void setHead(KeyEntry head, long confirmedNanos) {
        mHead = head;
        mConfirmedNanos = confirmedNanos;
        mListener.run();
    }

    @Override
    public Optional<KeyEntry> get(String key) {
        return Optional.ofNullable(mHead);
    }

    @Override
    public List<KeyEntry> list(String prefix) {
        return mHead == null ? List.of() : List.of(mHead);
    }

    @Override
    public void subscribe(String prefix, Runnable listener) {
        mListener = listener;
    }

    @Override
    public long confirmedNanos() {
        return mConfirmedNanos;
    }
}
