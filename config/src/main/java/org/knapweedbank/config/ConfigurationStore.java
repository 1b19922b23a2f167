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
 * Generations of the configuration in the key-value service. A change is one transaction that
 * compares the head and writes generation, head and audit record. Thread-safe.
 */
public final class ConfigurationStore {
    private static final Logger LOG = LogManager.getLogger(ConfigurationStore.class);

    /** Transactions sent for one change while their answers are lost. */
    private static final int MAX_ATTEMPTS = 3;

    /** Races lost by a change that does not depend on the generation seen. */
    private static final int MAX_RACES = 5;

    private final KeyValueStore mStore;
    private final Clock mClock;
    private final String mWriter;
    private final ConfigurationParser mParser = new ConfigurationParser();
    private final ConfigurationMerger mMerger = new ConfigurationMerger(mParser);
    private final AtomicLong mSequence = new AtomicLong();

    /**
     * Creates the store.
     *
     * @param store the key-value service
     * @param clock source of the wall time in records
     * @param writer identifier of this entry with its incarnation; unique among all writers
     */
    public ConfigurationStore(KeyValueStore store, Clock clock, String writer) {
        mStore = store;
        mClock = clock;
        mWriter = writer;
    }

    /**
     * Replaces the document. The data centres that are out of service stay out.
     *
     * @param request the operator and the generation seen, which is needed here
     * @param document the merged document as JSON
     * @return the result
     */
    public Uni<ApplyResult> apply(ChangeRequest request, byte[] document) {
        if (request.expect().isEmpty()) {
            throw new IllegalArgumentException("the generation that the operator saw is missing");
        }
        MergeResult merged =
                mMerger.check(mParser.parseDocument(ChangeProposals.REQUEST, document));
        if (!merged.isAccepted()) {
            return refused(request, "apply", merged.errors());
        }
        boolean allowNone = request.allowNoDataCentre();
        return change(request, 0, state -> ChangeProposals.apply(merged, state, allowNone));
    }

    /**
     * Takes a data centre out of service or back in. Without an expected generation a lost race is
     * repeated on the new generation.
     *
     * @param request the operator
     * @param dataCentre name of the data centre
     * @param out true to take it out
     * @return the result
     */
    public Uni<ApplyResult> setRemoved(ChangeRequest request, String dataCentre, boolean out) {
        boolean allowNone = request.allowNoDataCentre();
        return change(
                request,
                0,
                state -> {
                    Optional<StoredGeneration> current = state.generation();
                    if (current.isEmpty()) {
                        String found = "no readable generation";
                        String accepted = "a data centre of a configuration that was applied";
                        return new Proposal.Refuse(
                                out ? "dc out" : "dc in",
                                List.of(
                                        new ConfigurationError(
                                                ChangeProposals.REQUEST,
                                                0,
                                                "$.dataCentres",
                                                found,
                                                accepted)));
                    }
                    return ChangeProposals.setRemoved(current.get(), dataCentre, out, allowNone);
                });
    }

    /**
     * Reads the generation in force.
     *
     * @return head and document, two calls to the store
     */
    public Uni<StoreResult<ConfigurationState>> current() {
        return mStore.get(ConfigurationKeys.HEAD)
                .chain(
                        result ->
                                switch (result) {
                                    case StoreResult.Succeeded<KeyRange>(KeyRange range) ->
                                            range.first().isEmpty()
                                                    ? succeeded(ConfigurationState.EMPTY)
                                                    : withDocument(range.first().get());
                                    default ->
                                            Uni.createFrom()
                                                    .item(
                                                            result.map(
                                                                    r -> ConfigurationState.EMPTY));
                                });
    }

    /**
     * Reads audit records, the newest first.
     *
     * @param limit largest number of records, from 1
     * @param before only records of generations below this one; empty for the newest
     * @return the records
     */
    public Uni<StoreResult<List<AuditRecord>>> audit(int limit, OptionalLong before) {
        if (before.isPresent()) {
            return auditBelow(limit, before.getAsLong());
        }
        return mStore.get(ConfigurationKeys.HEAD)
                .chain(
                        result ->
                                result instanceof StoreResult.Succeeded<KeyRange>(KeyRange range)
                                        ? auditBelow(limit, number(range) + 1)
                                        : Uni.createFrom().item(result.map(r -> List.of())));
    }

    private Uni<StoreResult<List<AuditRecord>>> auditBelow(int limit, long before) {
        long first = Math.max(1, before - limit);
        int count = (int) (before - first);
        if (count < 1) {
            return succeeded(List.of());
        }
        return mStore.rangeFrom(ConfigurationKeys.AUDIT, ConfigurationKeys.audit(first), count)
                .map(result -> result.map(range -> records(range, before)));
    }

    private static List<AuditRecord> records(KeyRange range, long before) {
        return range.entries().stream()
                .map(entry -> ConfigurationCodec.read(entry.value(), AuditRecord.class))
                .filter(record -> record.generation() < before)
                .toList()
                .reversed();
    }

    private Uni<StoreResult<ConfigurationState>> withDocument(KeyEntry entry) {
        ConfigurationHead head = ConfigurationCodec.read(entry.value(), ConfigurationHead.class);
        return mStore.get(ConfigurationKeys.generation(head.generation()))
                .map(
                        result ->
                                result.map(
                                        range ->
                                                new ConfigurationState(
                                                        Optional.of(head),
                                                        entry.modRevision(),
                                                        document(head, range))));
    }

    private static Optional<StoredGeneration> document(ConfigurationHead head, KeyRange range) {
        Optional<StoredGeneration> generation = GenerationDocuments.verified(head, range);
        if (generation.isEmpty()) {
            LOG.error("[config] document of generation {} is damaged", head.generation());
        }
        return generation;
    }

    private Uni<ApplyResult> change(
            ChangeRequest request, int races, Function<ConfigurationState, Proposal> proposal) {
        return current()
                .chain(
                        result ->
                                switch (result) {
                                    case StoreResult.Succeeded<ConfigurationState>(
                                                    ConfigurationState state) ->
                                            change(request, races, proposal, state);
                                    case StoreResult.Rejected<ConfigurationState>(String reason) ->
                                            unavailable(request, reason);
                                    case StoreResult.Unavailable<ConfigurationState>(
                                                    String reason) ->
                                            unavailable(request, reason);
                                    case StoreResult.Unknown<ConfigurationState>(String reason) ->
                                            unavailable(request, reason);
                                });
    }

    private Uni<ApplyResult> change(
            ChangeRequest request,
            int races,
            Function<ConfigurationState, Proposal> proposal,
            ConfigurationState state) {
        if (state.number() < request.known()) {
            String reason =
                    "the store holds generation %d, older than generation %d in force here"
                            .formatted(state.number(), request.known());
            return unavailable(request, reason);
        }
        long seen = request.expect().orElse(state.number());
        if (seen != state.number()) {
            ChangeIdentity identity = new ChangeIdentity(mWriter, 0, request.change());
            return settle(request, identity, seen + 1, state.head(), List.of());
        }
        return switch (proposal.apply(state)) {
            case Proposal.Refuse(String action, List<ConfigurationError> errors) ->
                    refused(request, action, errors);
            case Proposal.Nothing(String action, List<ConfigurationWarning> warnings) -> {
                LOG.info("[config] {} by {} changes nothing", action, request.operator());
                yield item(new ApplyResult.Applied(state.number(), false, warnings));
            }
            case Proposal.Write write -> {
                PendingChange change = pending(request, write, state.headRevision());
                yield commit(request, change, 1, false)
                        .chain(result -> afterRace(request, races, proposal, result));
            }
        };
    }

    private Uni<ApplyResult> afterRace(
            ChangeRequest request,
            int races,
            Function<ConfigurationState, Proposal> proposal,
            ApplyResult result) {
        boolean again = result instanceof ApplyResult.Conflict && request.expect().isEmpty();
        return again && races < MAX_RACES ? change(request, races + 1, proposal) : item(result);
    }

    private PendingChange pending(ChangeRequest request, Proposal.Write write, long headRevision) {
        ConfigurationHead head =
                new ConfigurationHead(
                        write.next().generation(),
                        ConfigurationCodec.digest(write.next().document()),
                        write.next().removed(),
                        mWriter,
                        mSequence.incrementAndGet(),
                        request.change(),
                        request.operator(),
                        mClock.wallTime().toString());
        return PendingChange.of(head, write, headRevision);
    }

    /**
     * Sends the transaction. When the answer is lost, the same transaction is sent again: it takes
     * effect at most once, and its failure branch reads the head back.
     */
    private Uni<ApplyResult> commit(
            ChangeRequest request, PendingChange change, int attempt, boolean lost) {
        return mStore.transact(change.transaction())
                .chain(
                        result ->
                                switch (result) {
                                    case StoreResult.Succeeded<TransactionResult>(
                                                    TransactionResult done) ->
                                            committed(request, change, done);
                                    case StoreResult.Rejected<TransactionResult>(String reason) ->
                                            lost
                                                    ? again(request, change, attempt, reason)
                                                    : unavailable(request, reason);
                                    case StoreResult.Unavailable<TransactionResult>(
                                                    String reason) ->
                                            lost
                                                    ? again(request, change, attempt, reason)
                                                    : unavailable(request, reason);
                                    case StoreResult.Unknown<TransactionResult>(String reason) ->
                                            again(request, change, attempt, reason);
                                });
    }

    private Uni<ApplyResult> again(
            ChangeRequest request, PendingChange change, int attempt, String reason) {
        if (attempt < MAX_ATTEMPTS) {
            return commit(request, change, attempt + 1, true);
        }
        LOG.error(
                "[config] outcome of {} to generation {} by {} is not known: {}",
                change.write().action(),
                change.head().generation(),
                request.operator(),
                reason);
        return item(new ApplyResult.Unknown(reason));
    }

    private Uni<ApplyResult> committed(
            ChangeRequest request, PendingChange change, TransactionResult done) {
        ConfigurationHead head = change.head();
        if (done.compared()) {
            return applied(request, head.generation(), change.write().warnings());
        }
        ChangeIdentity identity = new ChangeIdentity(head.writer(), head.sequence(), head.change());
        Optional<ConfigurationHead> inForce =
                done.results().getFirst() instanceof OperationResult.Read(KeyRange range)
                        ? range.first()
                                .map(
                                        e ->
                                                ConfigurationCodec.read(
                                                        e.value(), ConfigurationHead.class))
                        : Optional.empty();
        return settle(request, identity, head.generation(), inForce, change.write().warnings());
    }

    /** Tells whether a generation that exists was written by this change. */
    private Uni<ApplyResult> settle(
            ChangeRequest request,
            ChangeIdentity identity,
            long generation,
            Optional<ConfigurationHead> inForce,
            List<ConfigurationWarning> warnings) {
        if (inForce.filter(identity::wrote).isPresent()) {
            return applied(request, inForce.get().generation(), warnings);
        }
        if (inForce.map(ConfigurationHead::generation).orElse(0L) <= generation) {
            return conflict(request, inForce);
        }
        return mStore.get(ConfigurationKeys.audit(generation))
                .chain(
                        result ->
                                switch (result) {
                                    case StoreResult.Succeeded<KeyRange>(KeyRange range) ->
                                            wrote(identity, range)
                                                    ? applied(request, generation, warnings)
                                                    : conflict(request, inForce);
                                    case StoreResult.Rejected<KeyRange>(String reason) ->
                                            item(new ApplyResult.Unknown(reason));
                                    case StoreResult.Unavailable<KeyRange>(String reason) ->
                                            item(new ApplyResult.Unknown(reason));
                                    case StoreResult.Unknown<KeyRange>(String reason) ->
                                            item(new ApplyResult.Unknown(reason));
                                });
    }

    private static boolean wrote(ChangeIdentity identity, KeyRange range) {
        return range.first()
                .map(entry -> ConfigurationCodec.read(entry.value(), AuditRecord.class))
                .filter(identity::wrote)
                .isPresent();
    }

    private static Uni<ApplyResult> applied(
            ChangeRequest request, long generation, List<ConfigurationWarning> warnings) {
        LOG.info("[config] generation {} set by {}", generation, request.operator());
        return item(new ApplyResult.Applied(generation, true, warnings));
    }

    private static Uni<ApplyResult> conflict(
            ChangeRequest request, Optional<ConfigurationHead> inForce) {
        ApplyResult.Conflict conflict =
                inForce.map(h -> new ApplyResult.Conflict(h.generation(), h.operator(), h.at()))
                        .orElse(new ApplyResult.Conflict(0, "", ""));
        LOG.warn(
                "[config] change by {} refused: generation {} by {} is in force",
                request.operator(),
                conflict.generation(),
                conflict.setBy());
        return item(conflict);
    }

    private static Uni<ApplyResult> refused(
            ChangeRequest request, String action, List<ConfigurationError> errors) {
        LOG.warn(
                "[config] {} by {} refused with {} errors, the first: {}",
                action,
                request.operator(),
                errors.size(),
                errors.getFirst());
        return item(new ApplyResult.Rejected(errors));
    }

    private static Uni<ApplyResult> unavailable(ChangeRequest request, String reason) {
        LOG.warn("[config] change by {} not applied: {}", request.operator(), reason);
        return item(new ApplyResult.Unavailable(reason));
    }

    private static long number(KeyRange range) {
        return range.first()
                .map(entry -> ConfigurationCodec.read(entry.value(), ConfigurationHead.class))
                .map(ConfigurationHead::generation)
                .orElse(0L);
    }

    private static Uni<ApplyResult> item(ApplyResult result) {
        return Uni.createFrom().item(result);
    }

    private static <T> Uni<StoreResult<T>> succeeded(T value) {
        return Uni.createFrom().item(new StoreResult.Succeeded<>(value));
    }
}
