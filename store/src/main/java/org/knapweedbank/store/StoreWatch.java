package org.knapweedbank.store;

/** Handle of an open watch on keys of the store. Closing it ends the watch. */
public interface StoreWatch extends AutoCloseable {
    @Override
    void close();
}
