package org.knapweedbank.store;

import java.util.function.Function;

/**
 * Result of one call to the store. The cases differ in whether the call may have had an effect.
 *
 * @param <T> type of the value
 */
public sealed interface StoreResult<T> {
    /**
     * The call took effect and its response arrived.
     *
     * @param value decoded response
     * @param <T> type of the value
     */
    record Succeeded<T>(T value) implements StoreResult<T> {}

    /**
     * The store rejected the call, for example because a value is too large. The call had no
     * effect.
     *
     * @param reason reason given by the store
     * @param <T> type of the value
     */
    record Rejected<T>(String reason) implements StoreResult<T> {}

    /**
     * The call failed and is known to have had no effect, for example because no connection could
     * be made.
     *
     * @param reason what failed
     * @param <T> type of the value
     */
    record Unavailable<T>(String reason) implements StoreResult<T> {}

    /**
     * No usable response arrived; a write may have taken effect.
     *
     * @param reason what failed
     * @param <T> type of the value
     */
    record Unknown<T>(String reason) implements StoreResult<T> {}

    /**
     * Converts the value of a successful result and leaves other results unchanged.
     *
     * @param function converts the value
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
