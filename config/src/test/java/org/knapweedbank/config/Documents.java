package org.knapweedbank.config;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/** Creates configuration documents and change requests for tests. */
final class Documents {
    private Documents() {}

    /**
     * Returns a document with data centres a and b that is distinguished by the weight of a team.
     */
    static byte[] withWeight(int weight) {
        return bytes(
                """
                {"site": "s",
                 "dataCentres": {"a": {"region": "r"}, "b": {"region": "r"}},
                 "teams": {"t": {"deserved": {"milliCpu": 1, "memoryMb": 1}, "weight": %d}}}
                """
                        .formatted(weight));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static ChangeRequest requestExpecting(long generation, String operator) {
        return new ChangeRequest(operator, OptionalLong.of(generation), "", false);
    }

    static ChangeRequest requestBy(String operator) {
        return new ChangeRequest(operator, OptionalLong.empty(), "", false);
    }
}
