package org.knapweedbank.standin;

import org.knapweedbank.store.WatchListener;

/** Watch listener that is also notified after the last change of each revision. */
interface RevisionListener extends WatchListener {
    /** Called when the listener has received all changes of a revision. */
    void revisionCompleted();
}
