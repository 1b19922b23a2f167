package org.knapweedbank.store.lease;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.smallrye.mutiny.Uni;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;

/**
 * Ownership by two keys: {@code /kwb/c/owner/P} under the owner's store lease, and {@code
 * /kwb/c/epoch/P} without one. Both are changed in one transaction and hold the same value, which
 * names owner, lease and epoch and so identifies the write.
 */
public final class StoreOwnership implements OwnershipStore {
    /** Prefix of the keys that name the owners. */
    public static final String OWNER_PREFIX = "/kwb/c/owner/";

    /** Prefix of the keys that hold the epochs. */
    public static final String EPOCH_PREFIX = "/kwb/c/epoch/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final KeyValueStore mStore;

    /** Value of both keys. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private record Value(String owner, String address, long epoch, long lease) {}

    /** The two keys as read. */
    private record State(Optional<KeyEntry> owner, Optional<KeyEntry> epoch) {
        private static State of(TransactionResult read) {
            return new State(read.read(0), read.read(1));
        }
    }

    /**
     * Creates the ownership store.
     *
     * @param store the store
     */
    public StoreOwnership(KeyValueStore store) {
        mStore = store;
    }

    /**
     * Key that names the owner of a partition.
     *
     * @param partition the partition
     * @return the key
     */
    public static String ownerKey(int partition) {
        return OWNER_PREFIX + partition;
    }

    /**
     * Key that holds the epoch of a partition.
     *
     * @param partition the partition
     * @return the key
     */
    public static String epochKey(int partition) {
        return EPOCH_PREFIX + partition;
    }

    /**
     * Reads the ownership from an entry of the store, such as one of a prefix view.
     *
     * @param entry entry of an owner key or an epoch key
     * @return the ownership, or empty when key or value are malformed; for an entry of an owner key
     *     the epoch revision is its modification revision, as both keys change together
     */
    public static Optional<Ownership> decode(KeyEntry entry) {
        try {
            Value value = MAPPER.readValue(entry.value(), Value.class);
            int partition =
                    Integer.parseInt(entry.key().substring(entry.key().lastIndexOf('/') + 1));
            return Optional.of(
                    new Ownership(
                            partition,
                            value.epoch,
                            entry.modRevision(),
                            value.owner,
                            value.address));
        } catch (IOException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public Uni<StoreResult<Optional<Ownership>>> acquire(
            int partition, String ownerId, String ownerAddress, long leaseId) {
        return read(partition)
                .chain(
                        result ->
                                switch (result) {
                                    case StoreResult.Succeeded<State>(State state) ->
                                            acquireFrom(
                                                    state,
                                                    partition,
                                                    new Value(ownerId, ownerAddress, 0, leaseId));
                                    default -> Uni.createFrom().item(notAcquired(result));
                                });
    }

    @Override
    public Uni<StoreResult<Boolean>> release(Ownership ownership) {
        String epochKey = epochKey(ownership.partition());
        Transaction transaction =
                Transaction.when(
                        List.of(
                                new Compare.ModifiedAt(epochKey, ownership.epochRevision()),
                                new Compare.ModifiedAt(
                                        ownerKey(ownership.partition()),
                                        ownership.epochRevision())),
                        List.of(new Operation.Delete(ownerKey(ownership.partition()))));
        return mStore.transact(transaction)
                .chain(
                        result ->
                                result instanceof StoreResult.Unknown
                                        ? resolveRelease(ownership)
                                        : Uni.createFrom()
                                                .item(result.map(TransactionResult::compared)));
    }

    private Uni<StoreResult<State>> read(int partition) {
        return mStore.transact(Transaction.read(ownerKey(partition), epochKey(partition)))
                .map(result -> result.map(State::of));
    }

    private Uni<StoreResult<Optional<Ownership>>> acquireFrom(
            State state, int partition, Value request) {
        if (state.owner.isPresent()) {
            return done(ownedBy(state, request));
        }
        long lastEpoch = 0;
        if (state.epoch.isPresent()) {
            Optional<Ownership> last = decode(state.epoch.get());
            if (last.isEmpty()) {
                String reason = "malformed value of " + epochKey(partition);
                return Uni.createFrom().item(new StoreResult.Rejected<>(reason));
            }
            lastEpoch = last.get().epoch();
        }
        Value value = new Value(request.owner, request.address, lastEpoch + 1, request.lease);
        return mStore.transact(acquisition(state, partition, value))
                .chain(result -> acquired(result, partition, value));
    }

    private static Transaction acquisition(State state, int partition, Value value) {
        byte[] bytes = encode(value);
        String epochKey = epochKey(partition);
        Compare epochUnchanged =
                state.epoch
                        .<Compare>map(e -> new Compare.ModifiedAt(epochKey, e.modRevision()))
                        .orElseGet(() -> new Compare.Absent(epochKey));
        return Transaction.when(
                List.of(new Compare.Absent(ownerKey(partition)), epochUnchanged),
                List.of(
                        new Operation.Put(ownerKey(partition), bytes, value.lease),
                        new Operation.Put(epochKey, bytes, 0)));
    }

    private Uni<StoreResult<Optional<Ownership>>> acquired(
            StoreResult<TransactionResult> result, int partition, Value value) {
        return switch (result) {
            case StoreResult.Succeeded<TransactionResult>(TransactionResult done) ->
                    done(
                            done.compared()
                                    ? Optional.of(ownership(partition, value, done.revision()))
                                    : Optional.empty());
            case StoreResult.Unknown<TransactionResult>(String reason) ->
                    read(partition).map(read -> resolveAcquisition(read, value, reason));
            default -> Uni.createFrom().item(notAcquired(result));
        };
    }

    private static StoreResult<Optional<Ownership>> resolveAcquisition(
            StoreResult<State> read, Value value, String reason) {
        return read instanceof StoreResult.Succeeded<State>(State state)
                ? new StoreResult.Succeeded<>(ownedBy(state, value))
                : new StoreResult.Unknown<>(reason);
    }

    /**
     * The ownership if the keys name this owner and lease. The write may also be one whose outcome
     * was unknown earlier.
     */
    private static Optional<Ownership> ownedBy(State state, Value request) {
        if (state.owner.isEmpty() || state.epoch.isEmpty()) {
            return Optional.empty();
        }
        boolean same = Arrays.equals(state.owner.get().value(), state.epoch.get().value());
        boolean sameLease = state.owner.get().leaseId() == request.lease;
        return decode(state.epoch.get())
                .filter(o -> same && sameLease && o.ownerId().equals(request.owner));
    }

    private Uni<StoreResult<Boolean>> resolveRelease(Ownership ownership) {
        return read(ownership.partition())
                .map(
                        result ->
                                switch (result) {
                                    case StoreResult.Succeeded<State>(State state) ->
                                            released(state, ownership);
                                    default -> new StoreResult.Unknown<>("release: " + result);
                                });
    }

    private static StoreResult<Boolean> released(State state, Ownership ownership) {
        boolean current =
                state.epoch.isPresent()
                        && state.epoch.get().modRevision() == ownership.epochRevision();
        if (current && state.owner.isPresent()) {
            return new StoreResult.Unknown<>("the release has not arrived");
        }
        return new StoreResult.Succeeded<>(current);
    }

    private static Ownership ownership(int partition, Value value, long revision) {
        return new Ownership(partition, value.epoch, revision, value.owner, value.address);
    }

    private static Uni<StoreResult<Optional<Ownership>>> done(Optional<Ownership> ownership) {
        return Uni.createFrom().item(new StoreResult.Succeeded<>(ownership));
    }

    private static <T> StoreResult<Optional<Ownership>> notAcquired(StoreResult<T> result) {
        return result.map(ignored -> Optional.empty());
    }

    private static byte[] encode(Value value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("ownership cannot be encoded", e);
        }
    }
}
