package org.knapweedbank.tools;

/** Command that cancels a job. */
final class JobsCancelCommand implements Command {
    @Override
    public String name() {
        return "jobs cancel";
    }

    @Override
    public String usage() {
        return "JOB";
    }

    @Override
    public String summary() {
        return "Cancels a job.";
    }

    @Override
    public String examples() {
        return String.join("\n", "knapweedbank jobs cancel rebalance-7");
    }

    @Override
    public ArgumentCount argumentCount() {
        return ArgumentCount.exactly(1);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        String job = invocation.arguments().getFirst();
        String path = "/v1/jobs/" + JobOutput.encodePathSegment(job);
        Output output = invocation.output();
        ServerResponse response = invocation.server().call("DELETE", path, new byte[0]);
        if (response instanceof ServerResponse.Received received && received.isSuccess()) {
            JobOutput.print(output, received.body());
            return ExitCode.DONE;
        }
        if (!response.isOutcomeUnknown()) {
            return FailureReporter.reportFailedChange(output, response);
        }
        output.printMessage("no response to the cancellation; reading its outcome back");
        invocation.pause().run();
        ServerResponse jobResponse = invocation.server().call("GET", path, new byte[0]);
        if (jobResponse instanceof ServerResponse.Received received && received.isSuccess()) {
            String state = received.body().path("state").asText();
            output.printMessage("job " + job + " is " + state);
            return state.equals("cancelled") ? ExitCode.DONE : ExitCode.UNKNOWN;
        }
        return FailureReporter.reportFailedChange(output, response);
    }
}
