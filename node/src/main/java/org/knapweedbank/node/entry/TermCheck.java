package org.knapweedbank.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.node.store.ReadOutcome;

/**
 * Reads from the store, on demand, whether a later term has begun. What an owner doesn't know may
 * have been accepted by its successor, of which it hears late after a pause. Requests that come
 * while a read is under way share the next one.
 */
final class TermCheck {
    private final CoordinationStore mStore;
    private final long mTermRevision;
    private List<Consumer<Result>> mWaiting = new ArrayList<>();
    private boolean mReading;

    /** Result of a check. */
    enum Result {
        /** No later term had begun when the check was requested. */
        NEWEST,
        /** A later term has begun. */
        SUPERSEDED,
        /** The store did not answer. */
        UNKNOWN
    }

    /**
     * Creates the check of a term.
     *
     * @param termRevision revision of the term key that the term has written
     */
    TermCheck(CoordinationStore store, long termRevision) {
        mStore = store;
        mTermRevision = termRevision;
    }

    void request(Consumer<Result> done) {
        mWaiting.add(done);
        if (!mReading) {
            read();
        }
    }

    private void read() {
        List<Consumer<Result>> requests = mWaiting;
        mWaiting = new ArrayList<>();
        mReading = true;
        mStore.read(StoreKeys.TERM, false, outcome -> handleRead(requests, outcome));
    }

    private void handleRead(List<Consumer<Result>> requests, ReadOutcome outcome) {
        mReading = false;
        Result result = toResult(outcome);
        requests.forEach(done -> done.accept(result));
        if (!mWaiting.isEmpty() && !mReading) {
            read();
        }
    }

    private Result toResult(ReadOutcome outcome) {
        if (!(outcome instanceof ReadOutcome.Items read)) {
            return Result.UNKNOWN;
        }
        boolean unchanged =
                read.items().stream()
                        .filter(item -> item.key().equals(StoreKeys.TERM))
                        .anyMatch(item -> item.revision() == mTermRevision);
        return unchanged ? Result.NEWEST : Result.SUPERSEDED;
    }
}
