package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;

/** Shows data centres and daemons with the generation in force at each. */
final class StatusCommand implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public String usage() {
        return "";
    }

    @Override
    public String summary() {
        return "Shows data centres and daemons with the generation in force at each.";
    }

    @Override
    public String examples() {
        return String.join(
                "\n",
                "knapweedbank status",
                "knapweedbank status --output json --server 10.0.0.5:7003 --server 10.0.0.6:7003");
    }

    @Override
    public ArgumentCount arguments() {
        return ArgumentCount.exactly(0);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        ServerAnswer answer = invocation.server().call("GET", "/v1/status", new byte[0]);
        Output output = invocation.output();
        if (!(answer instanceof ServerAnswer.Answered answered) || !answered.succeeded()) {
            return Answers.failedRead(output, answer);
        }
        JsonNode body = answered.body();
        if (output.isJson()) {
            output.json(body);
            return ExitCode.DONE;
        }
        output.line(
                "site %s, generation %d, seen by entry %s, view confirmed %d ms ago"
                        .formatted(
                                body.path("site").asText(),
                                body.path("generation").asLong(),
                                body.path("entry").asText(),
                                body.path("viewAgeMillis").asLong()));
        output.line("");
        output.table(body.path("dataCentres"), "name", "region", "state");
        output.line("");
        output.table(
                body.path("daemons"),
                "id",
                "role",
                "dataCentre",
                "generation",
                "connected",
                "confirmed",
                "upstreams",
                "address");
        return ExitCode.DONE;
    }
}
