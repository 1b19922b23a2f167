package org.knapweedbank.entry.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.knapweedbank.config.AuditRecord;
import org.knapweedbank.config.ChangeRequest;
import org.knapweedbank.config.ConfigurationCodec;
import org.knapweedbank.config.ConfigurationHead;
import org.knapweedbank.config.ConfigurationSource;
import org.knapweedbank.config.ConfigurationState;
import org.knapweedbank.config.ConfigurationStore;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.store.StoreResult;

/** Answers the requests about the configuration, the data centres and the audit records. */
final class ConfigurationRequests {
    private static final int DEFAULT_RECORDS = 50;
    private static final int MAX_RECORDS = 500;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final ConfigurationStore mStore;
    private final ConfigurationSource mSource;

    ConfigurationRequests(ConfigurationStore store, ConfigurationSource source) {
        mStore = store;
        mSource = source;
    }

    Uni<OperatorAnswer> show() {
        return mStore.current().map(this::shown);
    }

    Uni<OperatorAnswer> apply(OperatorRequest request) {
        ChangeRequest change = request.change(known());
        if (change.expect().isEmpty()) {
            return item(
                    OperatorProblem.answer(
                            428,
                            "generation-required",
                            "Generation required",
                            "the generation seen is missing; accepted: the query parameter expect"
                                    + " or the header If-Match, 0 for the first generation",
                            OperatorProblem.NOT_APPLIED));
        }
        return mStore.apply(change, request.body()).map(ApplyAnswers::of);
    }

    Uni<OperatorAnswer> setRemoved(OperatorRequest request, String dataCentre, boolean out) {
        return mStore.setRemoved(request.change(known()), dataCentre, out).map(ApplyAnswers::of);
    }

    Uni<OperatorAnswer> audit(OperatorRequest request) {
        int limit = (int) request.number("limit", 1, MAX_RECORDS, DEFAULT_RECORDS);
        long before = request.number("before", 1, Long.MAX_VALUE, -1);
        OptionalLong bound = before < 0 ? OptionalLong.empty() : OptionalLong.of(before);
        return mStore.audit(limit, bound).map(this::audited);
    }

    private long known() {
        return mSource.current().map(SiteConfiguration::generation).orElse(0L);
    }

    private OperatorAnswer audited(StoreResult<List<AuditRecord>> result) {
        if (!(result instanceof StoreResult.Succeeded<List<AuditRecord>>(var records))) {
            return OperatorProblem.unavailable("the store does not answer: " + reason(result));
        }
        ObjectNode node = mMapper.createObjectNode();
        ArrayNode list = node.putArray("records");
        records.forEach(record -> list.add(mMapper.<ObjectNode>valueToTree(record)));
        return OperatorAnswer.of(200, node);
    }

    private OperatorAnswer shown(StoreResult<ConfigurationState> result) {
        if (!(result instanceof StoreResult.Succeeded<ConfigurationState>(var state))) {
            return fromMemory(reason(result));
        }
        Optional<ConfigurationHead> head = state.head();
        if (head.isEmpty()) {
            return OperatorProblem.answer(
                            404,
                            "no-configuration",
                            "No configuration",
                            "no configuration has been applied yet",
                            OperatorProblem.NOT_APPLIED)
                    .withGeneration(0);
        }
        if (state.generation().isEmpty()) {
            return fromMemory("the document in the store is damaged");
        }
        ObjectNode node = mMapper.createObjectNode();
        node.put("generation", head.get().generation());
        node.put("confirmed", true);
        node.put("digest", head.get().digest());
        node.put("operator", head.get().operator());
        node.put("at", head.get().at());
        node.put("change", head.get().change());
        head.get().removed().forEach(node.putArray("removed")::add);
        node.set("document", state.generation().get().document());
        return OperatorAnswer.of(200, node).withGeneration(head.get().generation());
    }

    /** The generation known here, marked as not confirmed, while the store does not answer. */
    private OperatorAnswer fromMemory(String reason) {
        Optional<SiteConfiguration> current = mSource.current();
        if (current.isEmpty()) {
            return OperatorProblem.unavailable("no configuration is known here: " + reason);
        }
        try {
            String json = ConfigurationCodec.encode(current.get());
            ObjectNode node = (ObjectNode) mMapper.readTree(json);
            node.put("confirmed", false);
            node.put("reason", reason);
            return OperatorAnswer.of(200, node).withGeneration(current.get().generation());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String reason(StoreResult<?> result) {
        return switch (result) {
            case StoreResult.Succeeded<?> succeeded -> "";
            case StoreResult.Rejected<?> rejected -> rejected.reason();
            case StoreResult.Unavailable<?> unavailable -> unavailable.reason();
            case StoreResult.Unknown<?> unknown -> unknown.reason();
        };
    }

    private static Uni<OperatorAnswer> item(OperatorAnswer answer) {
        return Uni.createFrom().item(answer);
    }
}
