package org.knapweedbank.tools;

/** Sends the change that takes a data centre out of service or returns it to service. */
final class DataCentreChange {
    private DataCentreChange() {}

    static ExitCode run(Invocation invocation, String direction) throws UsageException {
        String name = JobOutput.encodePathSegment(invocation.arguments().getFirst());
        Long expectedGeneration =
                CommandOptions.parseNumber(invocation.commandLine(), CommandOptions.EXPECT, 0);
        String path =
                "/v1/datacentres/%s/%s?change=%s"
                        .formatted(name, direction, invocation.changeIdSupplier().get());
        path += expectedGeneration == null ? "" : "&expect=" + expectedGeneration;
        path += CommandOptions.confirmationParameter(invocation.commandLine(), "&");
        return ChangeReport.report(invocation, ChangeSender.send(invocation, path, new byte[0]));
    }
}
