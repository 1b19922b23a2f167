package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;

/** Command that shows the data centres and daemons with the generation in force at each daemon. */
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
        return "Shows data centres and daemons with the generation in force at each daemon.";
    }

    @Override
    public String examples() {
        return String.join(
                "\n",
                "knapweedbank status",
                "knapweedbank status --output json --server 10.0.0.5:7003 --server 10.0.0.6:7003");
    }

    @Override
    public ArgumentCount argumentCount() {
        return ArgumentCount.exactly(0);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        ServerResponse response = invocation.server().call("GET", "/v1/status", new byte[0]);
        Output output = invocation.output();
        if (!(response instanceof ServerResponse.Received received) || !received.isSuccess()) {
            return FailureReporter.reportFailedRead(output, response);
        }
        JsonNode body = received.body();
        if (output.isJson()) {
            output.printJson(body);
            return ExitCode.DONE;
        }
        output.printLine(
                "site %s, generation %d, as seen by entry %s; view confirmed %d ms ago"
                        .formatted(
                                body.path("site").asText(),
                                body.path("generation").asLong(),
                                body.path("entry").asText(),
                                body.path("viewAgeMillis").asLong()));
        output.printLine("");
        output.printTable(body.path("dataCentres"), "name", "region", "state");
        output.printLine("");
        output.printTable(
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
