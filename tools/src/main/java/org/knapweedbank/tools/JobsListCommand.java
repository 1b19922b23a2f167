package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;

/** Lists the jobs of all partitions. */
final class JobsListCommand implements Command {
    @Override
    public String name() {
        return "jobs list";
    }

    @Override
    public String usage() {
        return "";
    }

    @Override
    public String summary() {
        return "Lists the jobs of all partitions.";
    }

    @Override
    public String examples() {
        return String.join("\n", "knapweedbank jobs list", "knapweedbank jobs list --output json");
    }

    @Override
    public ArgumentCount arguments() {
        return ArgumentCount.exactly(0);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        ServerAnswer answer = invocation.server().call("GET", "/v1/jobs", new byte[0]);
        Output output = invocation.output();
        if (!(answer instanceof ServerAnswer.Answered answered) || !answered.succeeded()) {
            return Answers.failedRead(output, answer);
        }
        JsonNode body = answered.body();
        if (output.isJson()) {
            output.json(body);
        } else {
            output.table(body.path("jobs"), JobOutput.FIELDS);
        }
        if (body.path("omitted").asLong() > 0) {
            output.message(body.path("omitted").asLong() + " jobs are left out");
        }
        for (JsonNode entry : body.path("unreachable")) {
            output.message("incomplete: entry " + entry.asText() + " did not answer");
        }
        return body.path("unreachable").isEmpty() ? ExitCode.DONE : ExitCode.REFUSED;
    }
}
