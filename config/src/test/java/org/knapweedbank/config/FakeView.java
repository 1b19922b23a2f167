package org.knapweedbank.config;

import java.util.List;
import java.util.Optional;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.cache.PrefixView;

/** View of the head that the test advances. */
final class FakeView implements PrefixView {
    private KeyEntry mHead;
    private long mConfirmed = Long.MIN_VALUE;
    private Runnable mListener = () -> {};

    void show(KeyEntry head, long confirmed) {
        mHead = head;
        mConfirmed = confirmed;
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
        return mConfirmed;
    }
}
