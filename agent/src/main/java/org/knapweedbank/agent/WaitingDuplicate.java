package org.knapweedbank.agent;

import org.knapweedbank.routing.duplicate.AttemptKey;

/** A copy of a running request that waits for its answer. */
record Waiter(EntryPeer peer, long id, AttemptKey key, long deadlineNanos) {}
