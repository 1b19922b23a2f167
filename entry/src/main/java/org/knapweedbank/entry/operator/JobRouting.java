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

/** Sends requests about jobs to the entry that owns the partition, and collects lists from all. */
final class JobRouting {
    private static final Logger LOG = LogManager.getLogger(JobRouting.class);
    private static final int OK = 200;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final JobRequests mLocal;
    private final OperatorForwarder mForwarder;

    JobRouting(JobRequests local, OperatorForwarder forwarder) {
        mLocal = local;
        mForwarder = forwarder;
    }

    /** Answers a request that came from an operator. */
    Uni<OperatorAnswer> route(OperatorCall call) {
        return mLocal.answer(call)
                .chain(
                        answer ->
                                switch (answer) {
                                    case JobAnswer.Answered(OperatorAnswer done) ->
                                            Uni.createFrom().item(done);
                                    case JobAnswer.OwnedBy(int partition, String owner) ->
                                            forward(call, partition, owner);
                                });
    }

    /** Answers a request that another entry forwarded; it is not forwarded again. */
    Uni<OperatorAnswer> answerForwarded(OperatorCall call) {
        return mLocal.answer(call)
                .map(
                        answer ->
                                switch (answer) {
                                    case JobAnswer.Answered(OperatorAnswer done) -> done;
                                    case JobAnswer.OwnedBy(int partition, String owner) ->
                                            OperatorProblem.unavailable(
                                                    "the owner of partition "
                                                            + partition
                                                            + " is changing; repeat the request");
                                });
    }

    /** Lists the jobs of all entries. */
    Uni<OperatorAnswer> list(OperatorCall call) {
        List<String> peers = mForwarder.peers();
        List<Uni<OperatorAnswer>> answers = new ArrayList<>();
        answers.add(answerForwarded(call));
        peers.forEach(peer -> answers.add(listed(peer, call)));
        return Uni.join().all(answers).andFailFast().map(all -> combine(peers, all));
    }

    private Uni<OperatorAnswer> listed(String peer, OperatorCall call) {
        return mForwarder
                .forward(peer, call)
                .map(OperatorAnswer::of)
                .onFailure()
                .recoverWithItem(failure -> OperatorProblem.unavailable(failure.toString()));
    }

    private Uni<OperatorAnswer> forward(OperatorCall call, int partition, String owner) {
        if (owner.isEmpty()) {
            return Uni.createFrom()
                    .item(
                            OperatorProblem.unavailable(
                                    "partition "
                                            + partition
                                            + " has no owner at present; repeat the request"));
        }
        return mForwarder.forward(owner, call).map(reply -> forwarded(owner, reply));
    }

    private static OperatorAnswer forwarded(String owner, OperatorReply reply) {
        if (reply.body() != null && reply.body().length > 0) {
            return OperatorAnswer.of(reply);
        }
        return switch (reply.status()) {
            case 503 -> OperatorProblem.unavailable("entry " + owner + " could not be reached");
            case 504 -> OperatorProblem.unknown("entry " + owner + " did not answer in time");
            default -> OperatorAnswer.of(reply);
        };
    }

    private OperatorAnswer combine(List<String> peers, List<OperatorAnswer> answers) {
        if (answers.getFirst().status() != OK) {
            return answers.getFirst();
        }
        ObjectNode result = mMapper.createObjectNode();
        ArrayNode jobs = result.putArray("jobs");
        ArrayNode unreachable = mMapper.createArrayNode();
        Set<String> seen = new HashSet<>();
        long omitted = 0;
        for (int i = 0; i < answers.size(); i++) {
            String entry = i == 0 ? "" : peers.get(i - 1);
            JsonNode part = parse(entry, answers.get(i));
            if (part.isMissingNode()) {
                unreachable.add(entry);
            }
            for (JsonNode job : part.path("jobs")) {
                // A partition may change its owner during the collection.
                if (seen.add(job.path("id").asText())) {
                    jobs.add(job);
                }
            }
            omitted += part.path("omitted").asLong();
        }
        result.put("omitted", omitted);
        result.set("unreachable", unreachable);
        return OperatorAnswer.of(OK, result);
    }

    private JsonNode parse(String entry, OperatorAnswer answer) {
        try {
            if (answer.status() == OK) {
                return mMapper.readTree(answer.body());
            }
            LOG.warn("[operator] entry {} did not list its jobs: {}", entry, answer.status());
        } catch (IOException e) {
            LOG.warn("[operator] entry {} sent a malformed list of jobs", entry, e);
        }
        return mMapper.missingNode();
    }
}
