package org.knapweedbank.tools;

/** Takes a data centre out of service or back in. */
final class DataCentreChange {
    private DataCentreChange() {}

    static ExitCode run(Invocation invocation, String direction) throws UsageException {
        String name = JobOutput.encode(invocation.arguments().getFirst());
        Long expect = CommandOptions.number(invocation.line(), CommandOptions.EXPECT, 0);
        String path =
                "/v1/datacentres/%s/%s?change=%s"
                        .formatted(name, direction, invocation.changeIds().get());
        path += expect == null ? "" : "&expect=" + expect;
        path += CommandOptions.confirmation(invocation.line(), "&");
        return ChangeReport.report(invocation, ChangeSender.send(invocation, path, new byte[0]));
    }
}
