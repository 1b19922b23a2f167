package org.knapweedbank.store;

/** Receives the events of a watch. The calls come one at a time. */
public interface WatchListener {
    /**
     * A key was written.
     *
     * @param entry the new entry
     */
    void put(KeyEntry entry);

    /**
     * A key was deleted or its lease has expired.
     *
     * @param key the key
     * @param revision revision of the deletion
     */
    void deleted(String key, long revision);

    /**
     * The watch is interrupted. It reconnects by itself and continues after the last revision
     * reported, so no event is lost unless {@link #compacted(long)} is called.
     *
     * @param reason what failed
     */
    void interrupted(String reason);

    /**
     * The watch is connected and live, for the first time or again. A reader that needs the whole
     * state rereads the prefix when it had been interrupted.
     */
    void connected();

    /**
     * Events were lost, as the store no longer holds the revision after the last one reported. The
     * reader has to read the prefix again.
     *
     * @param revision oldest revision that the store holds
     */
    void compacted(long revision);
}
