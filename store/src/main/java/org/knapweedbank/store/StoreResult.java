package org.knapweedbank.store;

import java.util.function.Function;

/**
 * Result of one call to the store.
 *
 * @param <T> type of the value
 */
public sealed interface StoreResult<T> {
    /**
     * The call took effect and was answered.
     *
     * @param value the answer
     * @param <T> type of the value
     */
    record Succeeded<T>(T value) implements StoreResult<T> {}

    /**
     * The store refused the call, for example for an oversized value. It had no effect.
     *
     * @param reason the store's reason
     * @param <T> type of the value
     */
    record Rejected<T>(String reason) implements StoreResult<T> {}

    /**
     * The call is known to have had no effect, for example as no connection could be made.
     *
     * @param reason what failed
     * @param <T> type of the value
     */
    record Unavailable<T>(String reason) implements StoreResult<T> {}

    /**
     * No answer arrived; a write may have taken effect.
     *
     * @param reason what failed
     * @param <T> type of the value
     */
    record Unknown<T>(String reason) implements StoreResult<T> {}

    /**
     * Converts the value of a successful result and keeps the others.
     *
     * @param function the conversion
     * @param <R> type of the converted value
     * @return the converted result
     */
    default <R> StoreResult<R> map(Function<? super T, ? extends R> function) {
        return switch (this) {
            case Succeeded<T>(T value) -> new Succeeded<>(function.apply(value));
            case Rejected<T>(String reason) -> new Rejected<>(reason);
            case Unavailable<T>(String reason) -> new Unavailable<>(reason);
            case Unknown<T>(String reason) -> new Unknown<>(reason);
        };
    }
}
