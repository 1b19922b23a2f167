package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Waits until all daemons listed in the status have confirmed a generation. */
final class ConfirmationWaiter {
    private ConfirmationWaiter() {}

    static ExitCode await(Invocation invocation, long generation, Duration timeout) {
        Output output = invocation.output();
        long start = invocation.clock().monotonicNanos();
        List<String> unconfirmed;
        do {
            unconfirmed = findUnconfirmed(invocation, generation);
            if (unconfirmed.isEmpty()) {
                output.printMessage("generation " + generation + " is confirmed by all daemons");
                return ExitCode.DONE;
            }
            invocation.pause().run();
        } while (invocation.clock().monotonicNanos() - start < timeout.toNanos());
        output.printMessage(
                "generation %d is applied, but not confirmed within %d s by:"
                        .formatted(generation, timeout.toSeconds()));
        unconfirmed.forEach(daemon -> output.printMessage("  " + daemon));
        return ExitCode.REFUSED;
    }

    private static List<String> findUnconfirmed(Invocation invocation, long generation) {
        ServerResponse response = invocation.server().call("GET", "/v1/status", new byte[0]);
        if (!(response instanceof ServerResponse.Received received) || !received.isSuccess()) {
            return List.of("unknown daemons: the status could not be read");
        }
        List<String> unconfirmed = new ArrayList<>();
        JsonNode body = received.body();
        for (JsonNode daemon : body.path("daemons")) {
            boolean connected = daemon.path("connected").asBoolean();
            long daemonGeneration = daemon.path("generation").asLong();
            if (!connected || daemonGeneration < generation) {
                String state =
                        connected ? "has generation " + daemonGeneration : "is not connected";
                unconfirmed.add(
                        daemon.path("role").asText()
                                + " "
                                + daemon.path("id").asText()
                                + " "
                                + state);
            }
        }
        if (body.path("daemons").isEmpty()) {
            unconfirmed.add("unknown daemons: the status lists none");
        }
        return unconfirmed;
    }
}
