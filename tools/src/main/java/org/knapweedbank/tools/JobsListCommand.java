package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;

/** Command that lists the jobs of all partitions. */
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
    public ArgumentCount argumentCount() {
        return ArgumentCount.exactly(0);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        ServerResponse response = invocation.server().call("GET", "/v1/jobs", new byte[0]);
        Output output = invocation.output();
        if (!(response instanceof ServerResponse.Received received) || !received.isSuccess()) {
            return FailureReporter.reportFailedRead(output, response);
        }
        JsonNode body = received.body();
        if (output.isJson()) {
            output.printJson(body);
        } else {
            output.printTable(body.path("jobs"), JobOutput.JOB_FIELDS);
        }
        if (body.path("omitted").asLong() > 0) {
            output.printMessage(body.path("omitted").asLong() + " jobs are left out");
        }
        for (JsonNode entry : body.path("unreachable")) {
            output.printMessage("incomplete: entry " + entry.asText() + " did not answer");
        }
        return body.path("unreachable").isEmpty() ? ExitCode.DONE : ExitCode.REFUSED;
    }
}
