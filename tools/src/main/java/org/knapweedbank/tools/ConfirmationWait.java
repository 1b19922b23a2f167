package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Waits until all daemons of the status have confirmed a generation. */
final class ConfirmationWait {
    private ConfirmationWait() {}

    static ExitCode await(Invocation invocation, long generation, Duration timeout) {
        Output output = invocation.output();
        long start = invocation.clock().monotonicNanos();
        List<String> missing;
        do {
            missing = missing(invocation, generation);
            if (missing.isEmpty()) {
                output.message("generation " + generation + " is confirmed by all daemons");
                return ExitCode.DONE;
            }
            invocation.pause().run();
        } while (invocation.clock().monotonicNanos() - start < timeout.toNanos());
        output.message(
                "generation %d is applied, but not confirmed within %d s by:"
                        .formatted(generation, timeout.toSeconds()));
        missing.forEach(daemon -> output.message("  " + daemon));
        return ExitCode.REFUSED;
    }

    private static List<String> missing(Invocation invocation, long generation) {
        ServerAnswer answer = invocation.server().call("GET", "/v1/status", new byte[0]);
        if (!(answer instanceof ServerAnswer.Answered answered) || !answered.succeeded()) {
            return List.of("unknown daemons, as the status could not be read");
        }
        List<String> missing = new ArrayList<>();
        JsonNode body = answered.body();
        for (JsonNode daemon : body.path("daemons")) {
            boolean connected = daemon.path("connected").asBoolean();
            long known = daemon.path("generation").asLong();
            if (!connected || known < generation) {
                String state = connected ? "has generation " + known : "is not connected";
                missing.add(
                        daemon.path("role").asText()
                                + " "
                                + daemon.path("id").asText()
                                + " "
                                + state);
            }
        }
        if (body.path("daemons").isEmpty()) {
            missing.add("unknown daemons, as the status names none");
        }
        return missing;
    }
}
