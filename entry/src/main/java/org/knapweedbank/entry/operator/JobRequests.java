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

/** Answers requests about the jobs of the partitions that this entry owns. */
final class JobRequests {
    private static final Logger LOG = LogManager.getLogger(JobRequests.class);

    private final JobOperations mJobs;
    private final ConfigurationSource mSource;
    private final ConfigurationParser mParser = new ConfigurationParser();

    JobRequests(JobOperations jobs, ConfigurationSource source) {
        mJobs = jobs;
        mSource = source;
    }

    Uni<JobAnswer> answer(OperatorCall call) {
        Optional<JobPath> path = JobPath.parse(call.path());
        if (path.isEmpty()) {
            return answered(OperatorProblem.notFound("no such path: " + call.path()));
        }
        Optional<JobId> job = path.get().job().map(JobId::new);
        String route = call.method() + (job.isPresent() ? " job" : " jobs");
        if (path.get().explain()) {
            route += " explain";
        }
        return switch (route) {
            case "POST jobs" -> submit(call);
            case "GET jobs" -> result(mJobs.list(), list -> answer(200, JobJson.list(list)));
            case "GET job" ->
                    result(mJobs.show(job.get()), detail -> answer(200, JobJson.detail(detail)));
            case "DELETE job" -> {
                LOG.info("[operator] {} cancels job {}", call.operator(), job.get());
                yield result(mJobs.cancel(job.get()), done -> answer(200, JobJson.summary(done)));
            }
            case "GET job explain" ->
                    result(mJobs.explain(job.get()), text -> answer(200, explained(job, text)));
            default -> answered(OperatorProblem.notFound("no such operation: " + route));
        };
    }

    private Uni<JobAnswer> submit(OperatorCall call) {
        ParsedFile parsed = mParser.parseJob("request", call.body());
        if (!parsed.isAccepted()) {
            return answered(OperatorProblem.errors(parsed.errors()));
        }
        JobSpec spec = JobDocuments.toSpec(parsed);
        Optional<SiteConfiguration> configuration = mSource.current();
        if (configuration.isEmpty()) {
            return answered(OperatorProblem.unavailable("no configuration is known yet"));
        }
        List<TeamSettings> teams = configuration.get().teams();
        if (teams.stream().noneMatch(team -> team.name().equals(spec.team()))) {
            String names = teams.stream().map(TeamSettings::name).collect(Collectors.joining(", "));
            return answered(
                    OperatorProblem.refused(
                            "unknown team " + spec.team() + "; accepted: " + names));
        }
        LOG.info("[operator] {} submits job {}", call.operator(), spec.id());
        return result(mJobs.submit(spec), summary -> answer(201, JobJson.summary(summary)));
    }

    private static <T> Uni<JobAnswer> result(
            Uni<JobResult<T>> result, Function<T, OperatorAnswer> done) {
        return result.map(
                value ->
                        switch (value) {
                            case JobResult.Done<T>(T item) ->
                                    new JobAnswer.Answered(done.apply(item));
                            case JobResult.NotOwner<T>(int partition, String ownerId) ->
                                    new JobAnswer.OwnedBy(partition, ownerId);
                            case JobResult.NotFound<T>(String reason) ->
                                    new JobAnswer.Answered(OperatorProblem.notFound(reason));
                            case JobResult.Refused<T>(String reason) ->
                                    new JobAnswer.Answered(OperatorProblem.refused(reason));
                            case JobResult.Unknown<T>(String reason) ->
                                    new JobAnswer.Answered(OperatorProblem.unknown(reason));
                        });
    }

    private static ObjectNode explained(Optional<JobId> job, String text) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", job.orElseThrow().value())
                .put("explanation", text);
    }

    private static OperatorAnswer answer(int status, ObjectNode body) {
        return OperatorAnswer.of(status, body);
    }

    private static Uni<JobAnswer> answered(OperatorAnswer answer) {
        return Uni.createFrom().item(new JobAnswer.Answered(answer));
    }
}
