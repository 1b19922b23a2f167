package org.knapweedbank.store;

/** Receives the events of a watch. Its methods are called by one thread at a time. */
public interface WatchListener {
    /**
     * Called when a key has been written.
     *
     * @param entry the key with its new value
     */
    void put(KeyEntry entry);

    /**
     * Called when a key has been deleted, also by the end of its lease.
     *
     * @param key the key
     * @param revision store revision of the deletion
     */
    void deleted(String key, long revision);

    /**
     * Called when the watch has been interrupted. It reconnects automatically and continues after
     * the last reported revision, so no events are lost unless {@link #compacted(long)} is called.
     *
     * @param reason cause of the interruption
     */
    void interrupted(String reason);

    /**
     * Called when the watch has been established, for the first time or after an interruption. A
     * listener that needs the complete state reads the prefix again after an interruption.
     */
    void connected();

    /**
     * Called when events have been lost because the store has compacted the revisions after the
     * last reported one. The listener has to read the prefix again.
     *
     * @param revision oldest revision that the store still holds
     */
    void compacted(long revision);
}
