package org.knapweedbank.store;

/** An open watch. */
public interface StoreWatch extends AutoCloseable {
    @Override
    void close();
}
