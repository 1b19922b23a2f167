package org.knapweedbank.entry.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Uni;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.wire.OperatorCall;
import org.knapweedbank.wire.OperatorReply;

/**
 * Forwards job requests to the entry that owns the job's partition, and merges the lists of all.
 */
final class JobRequestRouter {
    private static final Logger LOG = LogManager.getLogger(JobRequestRouter.class);
    private static final int OK = 200;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final JobRequestHandler mLocalHandler;
    private final OperatorForwarder mForwarder;

    JobRequestRouter(JobRequestHandler localHandler, OperatorForwarder forwarder) {
        mLocalHandler = localHandler;
        mForwarder = forwarder;
    }

    /**
     * Handles a request of an operator, forwarding it if another entry owns the job's partition.
     */
    Uni<OperatorResponse> route(OperatorCall call) {
        return mLocalHandler
                .handle(call)
                .chain(
                        response ->
                                switch (response) {
                                    case JobResponse.Completed(OperatorResponse completed) ->
                                            Uni.createFrom().item(completed);
                                    case JobResponse.OwnedByPeer(int partition, String owner) ->
                                            forward(call, partition, owner);
                                });
    }

    /** Handles a request forwarded by another entry; it is not forwarded again. */
    Uni<OperatorResponse> handleForwarded(OperatorCall call) {
        return mLocalHandler
                .handle(call)
                .map(
                        response ->
                                switch (response) {
                                    case JobResponse.Completed(OperatorResponse completed) ->
                                            completed;
                                    case JobResponse.OwnedByPeer(int partition, String owner) ->
                                            OperatorProblem.unavailable(
                                                    "the owner of partition "
                                                            + partition
                                                            + " is changing; repeat the request");
                                });
    }

    /** Lists the jobs of all entries, with the entries that did not reply as unreachable. */
    Uni<OperatorResponse> list(OperatorCall call) {
        List<String> peers = mForwarder.peers();
        List<Uni<OperatorResponse>> responses = new ArrayList<>();
        responses.add(handleForwarded(call));
        peers.forEach(peer -> responses.add(listOfPeer(peer, call)));
        return Uni.join().all(responses).andFailFast().map(all -> combine(peers, all));
    }

    private Uni<OperatorResponse> listOfPeer(String peer, OperatorCall call) {
        return mForwarder
                .forward(peer, call)
                .map(OperatorResponse::of)
                .onFailure()
                .recoverWithItem(failure -> OperatorProblem.unavailable(failure.toString()));
    }

    private Uni<OperatorResponse> forward(OperatorCall call, int partition, String owner) {
        if (owner.isEmpty()) {
            return Uni.createFrom()
                    .item(
                            OperatorProblem.unavailable(
                                    "partition "
                                            + partition
                                            + " has no owner at present; repeat the request"));
        }
        return mForwarder.forward(owner, call).map(reply -> toResponse(owner, reply));
    }

    /** Converts a reply; writes the problem document for a reply without a body. */
    private static OperatorResponse toResponse(String owner, OperatorReply reply) {
        if (reply.body() != null && reply.body().length > 0) {
            return OperatorResponse.of(reply);
        }
        return switch (reply.status()) {
            case 503 -> OperatorProblem.unavailable("entry " + owner + " could not be reached");
            case 504 -> OperatorProblem.unknown("entry " + owner + " did not answer in time");
            default -> OperatorResponse.of(reply);
        };
    }

    /** Merges the lists; the first response is that of this entry, the others are in peer order. */
    private OperatorResponse combine(List<String> peers, List<OperatorResponse> responses) {
        if (responses.getFirst().status() != OK) {
            return responses.getFirst();
        }
        ObjectNode result = mMapper.createObjectNode();
        ArrayNode jobs = result.putArray("jobs");
        ArrayNode unreachable = mMapper.createArrayNode();
        Set<String> jobIds = new HashSet<>();
        long omitted = 0;
        for (int i = 0; i < responses.size(); i++) {
            String peer = i == 0 ? "" : peers.get(i - 1);
            JsonNode jobList = parse(peer, responses.get(i));
            if (jobList.isMissingNode()) {
                unreachable.add(peer);
            }
            for (JsonNode job : jobList.path("jobs")) {
                // Two entries list the same job if its partition changes owner meanwhile.
                if (jobIds.add(job.path("id").asText())) {
                    jobs.add(job);
                }
            }
            omitted += jobList.path("omitted").asLong();
        }
        result.put("omitted", omitted);
        result.set("unreachable", unreachable);
        return OperatorResponse.of(OK, result);
    }

    /** Returns a peer's list of jobs, or a missing node if the response has none. */
    private JsonNode parse(String peer, OperatorResponse response) {
        try {
            if (response.status() == OK) {
                return mMapper.readTree(response.body());
            }
            LOG.warn(
                    "[operator] entry {} did not list its jobs: status {}",
                    peer,
                    response.status());
        } catch (IOException e) {
            LOG.warn("[operator] entry {} sent a malformed list of jobs", peer, e);
        }
        return mMapper.missingNode();
    }
}
