package org.knapweedbank.agent;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.knapweedbank.wire.HeaderField;

/** Which headers pass between entry and upstream: those that are not bound to one connection. */
final class HeaderRules {
    static final String CORRELATION_ID = "X-Correlation-Id";

    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");
    private static final Set<String> SET_BY_AGENT =
            Set.of("host", "content-length", "expect", "x-correlation-id");

    private HeaderRules() {}

    static boolean passesToUpstream(HeaderField field) {
        String name = field.name().toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(name) && !SET_BY_AGENT.contains(name);
    }

    /** End-to-end headers of an answer, without those that its Connection header names. */
    static List<HeaderField> fromUpstream(MultiMap headers) {
        Set<String> named =
                headers.getAll("connection").stream()
                        .flatMap(value -> Stream.of(value.split(",")))
                        .map(name -> name.trim().toLowerCase(Locale.ROOT))
                        .collect(Collectors.toSet());
        return headers.entries().stream()
                .filter(e -> passes(e, named))
                .map(e -> new HeaderField(e.getKey(), e.getValue()))
                .toList();
    }

    private static boolean passes(Map.Entry<String, String> header, Set<String> named) {
        String name = header.getKey().toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(name) && !named.contains(name);
    }
}
