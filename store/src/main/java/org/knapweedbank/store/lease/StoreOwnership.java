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
 * Records the ownership of a partition in two keys: {@code /kwb/c/owner/P}, which is deleted when
 * the owner's store lease ends, and {@code /kwb/c/epoch/P}, which has no lease. An acquisition
 * writes both keys in one transaction with the same value. The value contains the owner, its lease
 * and the epoch, and thereby identifies the write.
 */
public final class StoreOwnership implements OwnershipStore {
    /** Prefix of the owner keys. */
    public static final String OWNER_PREFIX = "/kwb/c/owner/";

    /** Prefix of the epoch keys. */
    public static final String EPOCH_PREFIX = "/kwb/c/epoch/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final KeyValueStore mStore;

    /** Value of the owner key and the epoch key. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private record OwnershipValue(String owner, String address, long epoch, long lease) {}

    /** Owner key and epoch key as read at one revision. */
    private record OwnershipKeys(Optional<KeyEntry> owner, Optional<KeyEntry> epoch) {
        private static OwnershipKeys of(TransactionResult result) {
            return new OwnershipKeys(result.read(0), result.read(1));
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
     * Returns the key that holds the owner of a partition.
     *
     * @param partition number of the partition
     * @return the key
     */
    public static String ownerKey(int partition) {
        return OWNER_PREFIX + partition;
    }

    /**
     * Returns the key that holds the epoch of a partition.
     *
     * @param partition number of the partition
     * @return the key
     */
    public static String epochKey(int partition) {
        return EPOCH_PREFIX + partition;
    }

    /**
     * Decodes the ownership from an entry of the store, for example one of a prefix view.
     *
     * @param entry entry of an owner key or an epoch key
     * @return the ownership, or empty if the key or the value is malformed; the epoch revision is
     *     the modification revision of the entry, also for an owner key, because one transaction
     *     writes both keys
     */
    public static Optional<Ownership> decode(KeyEntry entry) {
        try {
            OwnershipValue value = MAPPER.readValue(entry.value(), OwnershipValue.class);
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
                                    case StoreResult.Succeeded<OwnershipKeys>(OwnershipKeys keys) ->
                                            acquireIfUnowned(
                                                    keys,
                                                    partition,
                                                    new OwnershipValue(
                                                            ownerId, ownerAddress, 0, leaseId));
                                    default -> Uni.createFrom().item(toEmptyOwnership(result));
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
                                                .item(
                                                        result.map(
                                                                TransactionResult
                                                                        ::conditionsHeld)));
    }

    private Uni<StoreResult<OwnershipKeys>> read(int partition) {
        return mStore.transact(Transaction.read(ownerKey(partition), epochKey(partition)))
                .map(result -> result.map(OwnershipKeys::of));
    }

    private Uni<StoreResult<Optional<Ownership>>> acquireIfUnowned(
            OwnershipKeys keys, int partition, OwnershipValue request) {
        if (keys.owner.isPresent()) {
            return succeeded(ownershipIfHeldBy(keys, request));
        }
        long lastEpoch = 0;
        if (keys.epoch.isPresent()) {
            Optional<Ownership> lastOwnership = decode(keys.epoch.get());
            if (lastOwnership.isEmpty()) {
                String reason = "malformed value of " + epochKey(partition);
                return Uni.createFrom().item(new StoreResult.Rejected<>(reason));
            }
            lastEpoch = lastOwnership.get().epoch();
        }
        OwnershipValue value =
                new OwnershipValue(request.owner, request.address, lastEpoch + 1, request.lease);
        return mStore.transact(acquisitionTransaction(keys, partition, value))
                .chain(result -> handleAcquisitionResult(result, partition, value));
    }

    private static Transaction acquisitionTransaction(
            OwnershipKeys keys, int partition, OwnershipValue value) {
        byte[] bytes = encode(value);
        String epochKey = epochKey(partition);
        Compare epochUnchanged =
                keys.epoch
                        .<Compare>map(
                                entry -> new Compare.ModifiedAt(epochKey, entry.modRevision()))
                        .orElseGet(() -> new Compare.Absent(epochKey));
        return Transaction.when(
                List.of(new Compare.Absent(ownerKey(partition)), epochUnchanged),
                List.of(
                        new Operation.Put(ownerKey(partition), bytes, value.lease),
                        new Operation.Put(epochKey, bytes, 0)));
    }

    private Uni<StoreResult<Optional<Ownership>>> handleAcquisitionResult(
            StoreResult<TransactionResult> result, int partition, OwnershipValue value) {
        return switch (result) {
            case StoreResult.Succeeded<TransactionResult>(TransactionResult response) ->
                    succeeded(
                            response.conditionsHeld()
                                    ? Optional.of(ownership(partition, value, response.revision()))
                                    : Optional.empty());
            case StoreResult.Unknown<TransactionResult>(String reason) ->
                    read(partition)
                            .map(readResult -> resolveAcquisition(readResult, value, reason));
            default -> Uni.createFrom().item(toEmptyOwnership(result));
        };
    }

    private static StoreResult<Optional<Ownership>> resolveAcquisition(
            StoreResult<OwnershipKeys> readResult, OwnershipValue value, String reason) {
        return readResult instanceof StoreResult.Succeeded<OwnershipKeys>(OwnershipKeys keys)
                ? new StoreResult.Succeeded<>(ownershipIfHeldBy(keys, value))
                : new StoreResult.Unknown<>(reason);
    }

    /**
     * Returns the ownership if both keys have been written by the requesting owner with its lease,
     * possibly by an earlier write whose outcome was unknown.
     */
    private static Optional<Ownership> ownershipIfHeldBy(
            OwnershipKeys keys, OwnershipValue request) {
        if (keys.owner.isEmpty() || keys.epoch.isEmpty()) {
            return Optional.empty();
        }
        boolean valuesEqual = Arrays.equals(keys.owner.get().value(), keys.epoch.get().value());
        boolean sameLease = keys.owner.get().leaseId() == request.lease;
        return decode(keys.epoch.get())
                .filter(
                        ownership ->
                                valuesEqual
                                        && sameLease
                                        && ownership.ownerId().equals(request.owner));
    }

    private Uni<StoreResult<Boolean>> resolveRelease(Ownership ownership) {
        return read(ownership.partition())
                .map(
                        result ->
                                switch (result) {
                                    case StoreResult.Succeeded<OwnershipKeys>(OwnershipKeys keys) ->
                                            releaseResult(keys, ownership);
                                    default ->
                                            new StoreResult.Unknown<>(
                                                    "could not read the outcome of the release: "
                                                            + result);
                                });
    }

    private static StoreResult<Boolean> releaseResult(OwnershipKeys keys, Ownership ownership) {
        boolean isCurrent =
                keys.epoch.isPresent()
                        && keys.epoch.get().modRevision() == ownership.epochRevision();
        if (isCurrent && keys.owner.isPresent()) {
            return new StoreResult.Unknown<>("the release has not taken effect yet");
        }
        return new StoreResult.Succeeded<>(isCurrent);
    }

    private static Ownership ownership(int partition, OwnershipValue value, long revision) {
        return new Ownership(partition, value.epoch, revision, value.owner, value.address);
    }

    private static Uni<StoreResult<Optional<Ownership>>> succeeded(Optional<Ownership> ownership) {
        return Uni.createFrom().item(new StoreResult.Succeeded<>(ownership));
    }

    private static <T> StoreResult<Optional<Ownership>> toEmptyOwnership(StoreResult<T> result) {
        return result.map(ignored -> Optional.empty());
    }

    private static byte[] encode(OwnershipValue value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not encode the ownership as JSON", e);
        }
    }
}
