package org.knapweedbank.agent;

import org.knapweedbank.routing.duplicate.AttemptKey;

/**
 * A duplicate of a running request that waits for the answer of that request.
 *
 * @param entryConnection entry that sent the duplicate
 * @param id identifier that the entry gave the duplicate
 * @param key attempt and idempotency key of the duplicate
 * @param deadlineNanos monotonic time until which the duplicate waits
 */
record WaitingDuplicate(
        EntryConnection entryConnection, long id, AttemptKey key, long deadlineNanos) {}
