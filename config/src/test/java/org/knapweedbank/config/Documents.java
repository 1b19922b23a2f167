package org.knapweedbank.config;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/** Documents and requests shared by the tests. */
final class Documents {
    private Documents() {}

    /** A document with data centres a and b; documents of different weights differ. */
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

    static ChangeRequest expecting(long generation, String operator) {
        return new ChangeRequest(operator, OptionalLong.of(generation), "", false);
    }

    static ChangeRequest by(String operator) {
        return new ChangeRequest(operator, OptionalLong.empty(), "", false);
    }
}
