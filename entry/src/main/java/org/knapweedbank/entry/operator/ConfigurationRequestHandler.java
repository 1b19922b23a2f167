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

/** Handles requests for the configuration, the data centres and the audit records. */
final class ConfigurationRequestHandler {
    private static final int DEFAULT_AUDIT_RECORDS = 50;
    private static final int MAX_AUDIT_RECORDS = 500;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final ConfigurationStore mStore;
    private final ConfigurationSource mSource;

    ConfigurationRequestHandler(ConfigurationStore store, ConfigurationSource source) {
        mStore = store;
        mSource = source;
    }

    /** Returns the configuration in force. */
    Uni<OperatorResponse> show() {
        return mStore.current().map(this::toConfigurationResponse);
    }

    /** Applies the configuration document in the body; the expected generation is required. */
    Uni<OperatorResponse> apply(OperatorRequest request) {
        ChangeRequest change = request.toChangeRequest(knownGeneration());
        if (change.expectedGeneration().isEmpty()) {
            return completed(
                    OperatorProblem.response(
                            428,
                            "generation-required",
                            "Generation required",
                            "the generation seen is missing; accepted: the query parameter expect"
                                    + " or the header If-Match, 0 for the first generation",
                            OperatorProblem.NOT_APPLIED));
        }
        return mStore.apply(change, request.body()).map(ApplyResponses::of);
    }

    /**
     * Takes a data centre out of service or back in.
     *
     * @param request the request
     * @param dataCentre name of the data centre
     * @param removed true to take it out of service
     */
    Uni<OperatorResponse> setRemoved(OperatorRequest request, String dataCentre, boolean removed) {
        return mStore.setOutOfService(
                        request.toChangeRequest(knownGeneration()), dataCentre, removed)
                .map(ApplyResponses::of);
    }

    /** Returns audit records, restricted by the query parameters limit and before. */
    Uni<OperatorResponse> audit(OperatorRequest request) {
        int limit =
                (int) request.numberParameter("limit", 1, MAX_AUDIT_RECORDS, DEFAULT_AUDIT_RECORDS);
        long before = request.numberParameter("before", 1, Long.MAX_VALUE, -1);
        OptionalLong beforeGeneration = before < 0 ? OptionalLong.empty() : OptionalLong.of(before);
        return mStore.audit(limit, beforeGeneration).map(this::toAuditResponse);
    }

    private long knownGeneration() {
        return mSource.current().map(SiteConfiguration::generation).orElse(0L);
    }

    private OperatorResponse toAuditResponse(StoreResult<List<AuditRecord>> result) {
        if (!(result instanceof StoreResult.Succeeded<List<AuditRecord>>(var records))) {
            return OperatorProblem.unavailable(
                    "the store does not answer: " + failureReason(result));
        }
        ObjectNode node = mMapper.createObjectNode();
        ArrayNode recordNodes = node.putArray("records");
        records.forEach(record -> recordNodes.add(mMapper.<ObjectNode>valueToTree(record)));
        return OperatorResponse.of(200, node);
    }

    private OperatorResponse toConfigurationResponse(StoreResult<ConfigurationState> result) {
        if (!(result instanceof StoreResult.Succeeded<ConfigurationState>(var state))) {
            return fromCachedConfiguration(failureReason(result));
        }
        Optional<ConfigurationHead> head = state.head();
        if (head.isEmpty()) {
            return OperatorProblem.response(
                            404,
                            "no-configuration",
                            "No configuration",
                            "no configuration has been applied yet",
                            OperatorProblem.NOT_APPLIED)
                    .withGeneration(0);
        }
        if (state.generation().isEmpty()) {
            return fromCachedConfiguration("the document in the store is damaged");
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
        return OperatorResponse.of(200, node).withGeneration(head.get().generation());
    }

    /**
     * Returns the configuration cached by this entry, marked as not confirmed, because it cannot be
     * read from the store.
     *
     * @param reason why the store could not be read
     */
    private OperatorResponse fromCachedConfiguration(String reason) {
        Optional<SiteConfiguration> current = mSource.current();
        if (current.isEmpty()) {
            return OperatorProblem.unavailable("no configuration is known here: " + reason);
        }
        try {
            String json = ConfigurationCodec.encode(current.get());
            ObjectNode node = (ObjectNode) mMapper.readTree(json);
            node.put("confirmed", false);
            node.put("reason", reason);
            return OperatorResponse.of(200, node).withGeneration(current.get().generation());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String failureReason(StoreResult<?> result) {
        return switch (result) {
            case StoreResult.Succeeded<?> succeeded -> "";
            case StoreResult.Rejected<?> rejected -> rejected.reason();
            case StoreResult.Unavailable<?> unavailable -> unavailable.reason();
            case StoreResult.Unknown<?> unknown -> unknown.reason();
        };
    }

    private static Uni<OperatorResponse> completed(OperatorResponse response) {
        return Uni.createFrom().item(response);
    }
}
