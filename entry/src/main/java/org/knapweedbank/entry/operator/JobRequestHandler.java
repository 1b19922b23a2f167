package org.knapweedbank.entry.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.config.ConfigurationParser;
import org.knapweedbank.config.ConfigurationSource;
import org.knapweedbank.config.JobDocuments;
import org.knapweedbank.config.ParsedFile;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.config.TeamSettings;
import org.knapweedbank.control.JobOperations;
import org.knapweedbank.control.JobResult;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.wire.OperatorCall;

/** Handles job requests for the partitions that this entry owns. */
final class JobRequestHandler {
    private static final Logger LOG = LogManager.getLogger(JobRequestHandler.class);

    private final JobOperations mJobs;
    private final ConfigurationSource mSource;
    private final ConfigurationParser mParser = new ConfigurationParser();

    JobRequestHandler(JobOperations jobs, ConfigurationSource source) {
        mJobs = jobs;
        mSource = source;
    }

    /**
     * Handles a request, if it does not concern a job of another entry.
     *
     * @param call the request
     * @return the response, or the owner of the job's partition
     */
    Uni<JobResponse> handle(OperatorCall call) {
        Optional<JobPath> path = JobPath.parse(call.path());
        if (path.isEmpty()) {
            return completed(OperatorProblem.notFound("no such path: " + call.path()));
        }
        Optional<JobId> jobId = path.get().jobId().map(JobId::new);
        String operation = call.method() + (jobId.isPresent() ? " job" : " jobs");
        if (path.get().explain()) {
            operation += " explain";
        }
        return switch (operation) {
            case "POST jobs" -> submit(call);
            case "GET jobs" -> toResponse(mJobs.list(), list -> response(200, JobJson.list(list)));
            case "GET job" ->
                    toResponse(
                            mJobs.show(jobId.get()),
                            detail -> response(200, JobJson.detail(detail)));
            case "DELETE job" -> {
                LOG.info(
                        "[operator] operator {} requested cancellation of job {}",
                        call.operator(),
                        jobId.get());
                yield toResponse(
                        mJobs.cancel(jobId.get()),
                        summary -> response(200, JobJson.summary(summary)));
            }
            case "GET job explain" ->
                    toResponse(
                            mJobs.explain(jobId.get()),
                            text -> response(200, explanation(jobId, text)));
            default -> completed(OperatorProblem.notFound("no such operation: " + operation));
        };
    }

    private Uni<JobResponse> submit(OperatorCall call) {
        ParsedFile parsed = mParser.parseJob("request", call.body());
        if (!parsed.isAccepted()) {
            return completed(OperatorProblem.invalidDocument(parsed.errors()));
        }
        JobSpec spec = JobDocuments.toSpec(parsed);
        Optional<SiteConfiguration> configuration = mSource.current();
        if (configuration.isEmpty()) {
            return completed(OperatorProblem.unavailable("no configuration is known yet"));
        }
        List<TeamSettings> teams = configuration.get().teams();
        if (teams.stream().noneMatch(team -> team.name().equals(spec.team()))) {
            String teamNames =
                    teams.stream().map(TeamSettings::name).collect(Collectors.joining(", "));
            return completed(
                    OperatorProblem.refused(
                            "unknown team " + spec.team() + "; accepted: " + teamNames));
        }
        LOG.info(
                "[operator] operator {} requested submission of job {}",
                call.operator(),
                spec.id());
        return toResponse(mJobs.submit(spec), summary -> response(201, JobJson.summary(summary)));
    }

    private static <T> Uni<JobResponse> toResponse(
            Uni<JobResult<T>> result, Function<T, OperatorResponse> successResponse) {
        return result.map(
                value ->
                        switch (value) {
                            case JobResult.Done<T>(T item) ->
                                    new JobResponse.Completed(successResponse.apply(item));
                            case JobResult.NotOwner<T>(int partition, String ownerId) ->
                                    new JobResponse.OwnedByPeer(partition, ownerId);
                            case JobResult.NotFound<T>(String reason) ->
                                    new JobResponse.Completed(OperatorProblem.notFound(reason));
                            case JobResult.Refused<T>(String reason) ->
                                    new JobResponse.Completed(OperatorProblem.refused(reason));
                            case JobResult.Unknown<T>(String reason) ->
                                    new JobResponse.Completed(OperatorProblem.unknown(reason));
                        });
    }

    private static ObjectNode explanation(Optional<JobId> jobId, String text) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", jobId.orElseThrow().value())
                .put("explanation", text);
    }

    private static OperatorResponse response(int status, ObjectNode body) {
        return OperatorResponse.of(status, body);
    }

    private static Uni<JobResponse> completed(OperatorResponse response) {
        return Uni.createFrom().item(new JobResponse.Completed(response));
    }
}
