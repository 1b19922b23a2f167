package org.knapweedbank.agent;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.knapweedbank.wire.HeaderField;

/** Selects the headers that are forwarded between entry and upstream: end-to-end headers only. */
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

    static boolean isForwardedToUpstream(HeaderField field) {
        String name = field.name().toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(name) && !SET_BY_AGENT.contains(name);
    }

    /**
     * Returns the end-to-end headers of an upstream's answer. Headers that the Connection header
     * names are hop-by-hop as well and are left out.
     */
    static List<HeaderField> responseHeaders(MultiMap headers) {
        Set<String> namedByConnection =
                headers.getAll("connection").stream()
                        .flatMap(value -> Stream.of(value.split(",")))
                        .map(name -> name.trim().toLowerCase(Locale.ROOT))
                        .collect(Collectors.toSet());
        return headers.entries().stream()
                .filter(e -> isEndToEnd(e, namedByConnection))
                .map(e -> new HeaderField(e.getKey(), e.getValue()))
                .toList();
    }

    private static boolean isEndToEnd(
            Map.Entry<String, String> header, Set<String> namedByConnection) {
        String name = header.getKey().toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(name) && !namedByConnection.contains(name);
    }
}
