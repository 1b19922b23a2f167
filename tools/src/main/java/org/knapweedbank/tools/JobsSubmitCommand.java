package org.knapweedbank.tools;

import java.nio.charset.StandardCharsets;
import org.knapweedbank.config.ConfigurationParser;
import org.knapweedbank.config.ParsedFile;

/** Command that submits a job described in a file. */
final class JobsSubmitCommand implements Command {
    @Override
    public String name() {
        return "jobs submit";
    }

    @Override
    public String usage() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Submits a job described in a file.";
    }

    @Override
    public String examples() {
        return String.join("\n", "knapweedbank jobs submit rebalance.json");
    }

    @Override
    public ArgumentCount argumentCount() {
        return ArgumentCount.exactly(1);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        Output output = invocation.output();
        String file = invocation.arguments().getFirst();
        ParsedFile job = new ConfigurationParser().parseJob(file, LocalFiles.readFile(file));
        if (!job.isAccepted()) {
            job.errors().forEach(error -> output.printMessage(error.toString()));
            return ExitCode.REFUSED;
        }
        // Submitting the same job again is idempotent, so a lost response is handled by a retry.
        byte[] body = job.tree().toString().getBytes(StandardCharsets.UTF_8);
        ServerResponse response = ChangeSender.send(invocation, "/v1/jobs", body);
        if (!(response instanceof ServerResponse.Received received) || !received.isSuccess()) {
            return FailureReporter.reportFailedChange(output, response);
        }
        JobOutput.print(output, received.body());
        return ExitCode.DONE;
    }
}
