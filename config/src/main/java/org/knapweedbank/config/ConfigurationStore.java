package org.knapweedbank.config;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.OperationResult;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.TransactionResult;
import org.knapweedbank.time.Clock;

/**
 * Reads and changes the generations of the configuration in the key-value store. A change is one
 * transaction that compares the revision of the head and writes the generation, the head and the
 * audit record. Thread-safe.
 */
public final class ConfigurationStore {
    private static final Logger LOG = LogManager.getLogger(ConfigurationStore.class);

    /** Maximum number of times the transaction of a change is sent when responses are lost. */
    private static final int MAX_COMMIT_ATTEMPTS = 3;

    /** Maximum number of retries after losing a race, for a change without expected generation. */
    private static final int MAX_LOST_RACES = 5;

    private final KeyValueStore mKeyValueStore;
    private final Clock mClock;
    private final String mWriter;
    private final ConfigurationParser mParser = new ConfigurationParser();
    private final ConfigurationMerger mMerger = new ConfigurationMerger(mParser);
    private final AtomicLong mSequence = new AtomicLong();

    /**
     * Creates a configuration store.
     *
     * @param store the key-value store
     * @param clock clock that provides the wall time in heads and audit records
     * @param writer identifier of this entry with its incarnation; unique among all writers
     */
    public ConfigurationStore(KeyValueStore store, Clock clock, String writer) {
        mKeyValueStore = store;
        mClock = clock;
        mWriter = writer;
    }

    /**
     * Replaces the configuration document. Data centres that are out of service stay out of
     * service.
     *
     * @param request the change request, with the expected generation
     * @param document the merged document as JSON
     * @return the result of the change
     * @throws IllegalArgumentException if the request has no expected generation
     */
    public Uni<ApplyResult> apply(ChangeRequest request, byte[] document) {
        if (request.expectedGeneration().isEmpty()) {
            throw new IllegalArgumentException("the request has no expected generation");
        }
        MergeResult merged =
                mMerger.check(mParser.parseDocument(ChangePlanner.REQUEST_NAME, document));
        if (!merged.isAccepted()) {
            return rejectedResult(request, "apply", merged.errors());
        }
        boolean allowNoneInService = request.allowNoDataCentre();
        return readAndApply(
                request, 0, state -> ChangePlanner.planApply(merged, state, allowNoneInService));
    }

    /**
     * Takes a data centre out of service or returns it to service. If the request has no expected
     * generation, the change is retried on the new generation after it lost a race.
     *
     * @param request the change request
     * @param dataCentre name of the data centre
     * @param remove true to take the data centre out of service, false to return it to service
     * @return the result of the change
     */
    public Uni<ApplyResult> setOutOfService(
            ChangeRequest request, String dataCentre, boolean remove) {
        boolean allowNoneInService = request.allowNoDataCentre();
        return readAndApply(
                request,
                0,
                state -> {
                    Optional<StoredGeneration> current = state.generation();
                    if (current.isEmpty()) {
                        String found = "no readable generation";
                        String accepted = "a data centre of a configuration that was applied";
                        return new ChangePlan.Reject(
                                remove ? "dc out" : "dc in",
                                List.of(
                                        new ConfigurationError(
                                                ChangePlanner.REQUEST_NAME,
                                                0,
                                                "$.dataCentres",
                                                found,
                                                accepted)));
                    }
                    return ChangePlanner.planSetRemoved(
                            current.get(), dataCentre, remove, allowNoneInService);
                });
    }

    /**
     * Reads the generation in force.
     *
     * @return the head and the document, read with two calls to the store
     */
    public Uni<StoreResult<ConfigurationState>> current() {
        return mKeyValueStore
                .get(ConfigurationKeys.HEAD)
                .chain(
                        result ->
                                switch (result) {
                                    case StoreResult.Succeeded<KeyRange>(KeyRange range) ->
                                            range.first().isEmpty()
                                                    ? succeeded(ConfigurationState.EMPTY)
                                                    : readStateWithDocument(range.first().get());
                                    default ->
                                            Uni.createFrom()
                                                    .item(
                                                            result.map(
                                                                    r -> ConfigurationState.EMPTY));
                                });
    }

    /**
     * Reads audit records, newest first.
     *
     * @param limit maximum number of records, at least 1
     * @param before generation below which records are returned; empty to start at the newest
     * @return the records
     */
    public Uni<StoreResult<List<AuditRecord>>> audit(int limit, OptionalLong before) {
        if (before.isPresent()) {
            return readAuditBelow(limit, before.getAsLong());
        }
        return mKeyValueStore
                .get(ConfigurationKeys.HEAD)
                .chain(
                        result ->
                                result instanceof StoreResult.Succeeded<KeyRange>(KeyRange range)
                                        ? readAuditBelow(limit, headGeneration(range) + 1)
                                        : Uni.createFrom().item(result.map(r -> List.of())));
    }

    private Uni<StoreResult<List<AuditRecord>>> readAuditBelow(int limit, long before) {
        long first = Math.max(1, before - limit);
        int count = (int) (before - first);
        if (count < 1) {
            return succeeded(List.of());
        }
        return mKeyValueStore
                .rangeFrom(ConfigurationKeys.AUDIT_PREFIX, ConfigurationKeys.auditKey(first), count)
                .map(result -> result.map(range -> toAuditRecords(range, before)));
    }

    private static List<AuditRecord> toAuditRecords(KeyRange range, long before) {
        return range.entries().stream()
                .map(entry -> ConfigurationCodec.decodeJson(entry.value(), AuditRecord.class))
                .filter(record -> record.generation() < before)
                .toList()
                .reversed();
    }

    private Uni<StoreResult<ConfigurationState>> readStateWithDocument(KeyEntry entry) {
        ConfigurationHead head =
                ConfigurationCodec.decodeJson(entry.value(), ConfigurationHead.class);
        return mKeyValueStore
                .get(ConfigurationKeys.generationKey(head.generation()))
                .map(
                        result ->
                                result.map(
                                        range ->
                                                new ConfigurationState(
                                                        Optional.of(head),
                                                        entry.modRevision(),
                                                        verifiedDocument(head, range))));
    }

    private static Optional<StoredGeneration> verifiedDocument(
            ConfigurationHead head, KeyRange range) {
        Optional<StoredGeneration> generation = GenerationDocuments.decodeVerified(head, range);
        if (generation.isEmpty()) {
            LOG.error("[config] document of generation {} is damaged", head.generation());
        }
        return generation;
    }

    private Uni<ApplyResult> readAndApply(
            ChangeRequest request,
            int lostRaces,
            Function<ConfigurationState, ChangePlan> planner) {
        return current()
                .chain(
                        result ->
                                switch (result) {
                                    case StoreResult.Succeeded<ConfigurationState>(
                                                    ConfigurationState state) ->
                                            planAndCommit(request, lostRaces, planner, state);
                                    case StoreResult.Rejected<ConfigurationState>(String reason) ->
                                            unavailableResult(request, reason);
                                    case StoreResult.Unavailable<ConfigurationState>(
                                                    String reason) ->
                                            unavailableResult(request, reason);
                                    case StoreResult.Unknown<ConfigurationState>(String reason) ->
                                            unavailableResult(request, reason);
                                });
    }

    private Uni<ApplyResult> planAndCommit(
            ChangeRequest request,
            int lostRaces,
            Function<ConfigurationState, ChangePlan> planner,
            ConfigurationState state) {
        if (state.generationNumber() < request.highestKnownGeneration()) {
            String reason =
                    "the store holds generation %d, older than generation %d in force here"
                            .formatted(state.generationNumber(), request.highestKnownGeneration());
            return unavailableResult(request, reason);
        }
        long expected = request.expectedGeneration().orElse(state.generationNumber());
        if (expected != state.generationNumber()) {
            // The client may have retried a change that was applied already.
            ChangeIdentity identity = new ChangeIdentity(mWriter, 0, request.changeId());
            return resolveExistingGeneration(
                    request, identity, expected + 1, state.head(), List.of());
        }
        return switch (planner.apply(state)) {
            case ChangePlan.Reject(String action, List<ConfigurationError> errors) ->
                    rejectedResult(request, action, errors);
            case ChangePlan.NoChange(String action, List<ConfigurationWarning> warnings) -> {
                LOG.info(
                        "[config] {} by {} has no effect on the configuration",
                        action,
                        request.operator());
                yield completed(new ApplyResult.Applied(state.generationNumber(), false, warnings));
            }
            case ChangePlan.Write write -> {
                PendingChange change = preparePendingChange(request, write, state.headRevision());
                yield commit(request, change, 1, false)
                        .chain(result -> retryAfterConflict(request, lostRaces, planner, result));
            }
        };
    }

    private Uni<ApplyResult> retryAfterConflict(
            ChangeRequest request,
            int lostRaces,
            Function<ConfigurationState, ChangePlan> planner,
            ApplyResult result) {
        boolean shouldRetry =
                result instanceof ApplyResult.Conflict && request.expectedGeneration().isEmpty();
        return shouldRetry && lostRaces < MAX_LOST_RACES
                ? readAndApply(request, lostRaces + 1, planner)
                : completed(result);
    }

    private PendingChange preparePendingChange(
            ChangeRequest request, ChangePlan.Write write, long headRevision) {
        ConfigurationHead head =
                new ConfigurationHead(
                        write.next().generation(),
                        ConfigurationCodec.digest(write.next().document()),
                        write.next().removed(),
                        mWriter,
                        mSequence.incrementAndGet(),
                        request.changeId(),
                        request.operator(),
                        mClock.wallTime().toString());
        return PendingChange.of(head, write, headRevision);
    }

    /**
     * Sends the transaction of a change and retries it when the response is lost. The transaction
     * takes effect at most once, and its failure branch reads the current head.
     */
    private Uni<ApplyResult> commit(
            ChangeRequest request,
            PendingChange change,
            int attempt,
            boolean earlierOutcomeUnknown) {
        return mKeyValueStore
                .transact(change.transaction())
                .chain(
                        result ->
                                switch (result) {
                                    case StoreResult.Succeeded<TransactionResult>(
                                                    TransactionResult response) ->
                                            handleCommitResponse(request, change, response);
                                    case StoreResult.Rejected<TransactionResult>(String reason) ->
                                            earlierOutcomeUnknown
                                                    ? retryCommit(request, change, attempt, reason)
                                                    : unavailableResult(request, reason);
                                    case StoreResult.Unavailable<TransactionResult>(
                                                    String reason) ->
                                            earlierOutcomeUnknown
                                                    ? retryCommit(request, change, attempt, reason)
                                                    : unavailableResult(request, reason);
                                    case StoreResult.Unknown<TransactionResult>(String reason) ->
                                            retryCommit(request, change, attempt, reason);
                                });
    }

    private Uni<ApplyResult> retryCommit(
            ChangeRequest request, PendingChange change, int attempt, String reason) {
        if (attempt < MAX_COMMIT_ATTEMPTS) {
            return commit(request, change, attempt + 1, true);
        }
        LOG.error(
                "[config] outcome of {} to generation {} by {} is not known: {}",
                change.write().action(),
                change.head().generation(),
                request.operator(),
                reason);
        return completed(new ApplyResult.Unknown(reason));
    }

    private Uni<ApplyResult> handleCommitResponse(
            ChangeRequest request, PendingChange change, TransactionResult response) {
        ConfigurationHead head = change.head();
        if (response.conditionsHeld()) {
            return appliedResult(request, head.generation(), change.write().warnings());
        }
        ChangeIdentity identity = new ChangeIdentity(head.writer(), head.sequence(), head.change());
        Optional<ConfigurationHead> currentHead =
                response.results().getFirst() instanceof OperationResult.Read(KeyRange range)
                        ? range.first()
                                .map(
                                        e ->
                                                ConfigurationCodec.decodeJson(
                                                        e.value(), ConfigurationHead.class))
                        : Optional.empty();
        return resolveExistingGeneration(
                request, identity, head.generation(), currentHead, change.write().warnings());
    }

    /** Determines whether an existing generation was written by this change. */
    private Uni<ApplyResult> resolveExistingGeneration(
            ChangeRequest request,
            ChangeIdentity identity,
            long generation,
            Optional<ConfigurationHead> currentHead,
            List<ConfigurationWarning> warnings) {
        if (currentHead.filter(identity::matches).isPresent()) {
            return appliedResult(request, currentHead.get().generation(), warnings);
        }
        if (currentHead.map(ConfigurationHead::generation).orElse(0L) <= generation) {
            return conflictResult(request, currentHead);
        }
        return mKeyValueStore
                .get(ConfigurationKeys.auditKey(generation))
                .chain(
                        result ->
                                switch (result) {
                                    case StoreResult.Succeeded<KeyRange>(KeyRange range) ->
                                            matchesAuditRecord(identity, range)
                                                    ? appliedResult(request, generation, warnings)
                                                    : conflictResult(request, currentHead);
                                    case StoreResult.Rejected<KeyRange>(String reason) ->
                                            completed(new ApplyResult.Unknown(reason));
                                    case StoreResult.Unavailable<KeyRange>(String reason) ->
                                            completed(new ApplyResult.Unknown(reason));
                                    case StoreResult.Unknown<KeyRange>(String reason) ->
                                            completed(new ApplyResult.Unknown(reason));
                                });
    }

    private static boolean matchesAuditRecord(ChangeIdentity identity, KeyRange range) {
        return range.first()
                .map(entry -> ConfigurationCodec.decodeJson(entry.value(), AuditRecord.class))
                .filter(identity::matches)
                .isPresent();
    }

    private static Uni<ApplyResult> appliedResult(
            ChangeRequest request, long generation, List<ConfigurationWarning> warnings) {
        LOG.info("[config] generation {} set by {}", generation, request.operator());
        return completed(new ApplyResult.Applied(generation, true, warnings));
    }

    private static Uni<ApplyResult> conflictResult(
            ChangeRequest request, Optional<ConfigurationHead> currentHead) {
        ApplyResult.Conflict conflict =
                currentHead
                        .map(h -> new ApplyResult.Conflict(h.generation(), h.operator(), h.at()))
                        .orElse(new ApplyResult.Conflict(0, "", ""));
        LOG.warn(
                "[config] change by {} refused: generation {} by {} is in force",
                request.operator(),
                conflict.generation(),
                conflict.setBy());
        return completed(conflict);
    }

    private static Uni<ApplyResult> rejectedResult(
            ChangeRequest request, String action, List<ConfigurationError> errors) {
        LOG.warn(
                "[config] {} by {} refused with {} errors; first error: {}",
                action,
                request.operator(),
                errors.size(),
                errors.getFirst());
        return completed(new ApplyResult.Rejected(errors));
    }

    private static Uni<ApplyResult> unavailableResult(ChangeRequest request, String reason) {
        LOG.warn("[config] change by {} not applied: {}", request.operator(), reason);
        return completed(new ApplyResult.Unavailable(reason));
    }

    private static long headGeneration(KeyRange range) {
        return range.first()
                .map(entry -> ConfigurationCodec.decodeJson(entry.value(), ConfigurationHead.class))
                .map(ConfigurationHead::generation)
                .orElse(0L);
    }

    private static Uni<ApplyResult> completed(ApplyResult result) {
        return Uni.createFrom().item(result);
    }

    private static <T> Uni<StoreResult<T>> succeeded(T value) {
        return Uni.createFrom().item(new StoreResult.Succeeded<>(value));
    }
}
