package org.knapweedbank.standin;

import org.knapweedbank.store.WatchListener;

/** Listener that is also told when all changes of one revision have been reported. */
interface RevisionListener extends WatchListener {
    void revisionEnded();
}
