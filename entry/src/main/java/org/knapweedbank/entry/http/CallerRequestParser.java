package org.knapweedbank.entry.http;

import io.vertx.core.MultiMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.knapweedbank.entry.CallerLimits;
import org.knapweedbank.wire.HeaderField;

/** Checks the request line and headers of a caller's request. */
public final class CallerRequestParser {
    /** Header with the time allowed for the answer, in milliseconds. */
    public static final String DEADLINE = "X-Deadline-Ms";

    /** Header with the idempotency key. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Header with the identifier for logs. */
    public static final String CORRELATION_ID = "X-Correlation-Id";

    /** Header with the last event that the caller has seen. */
    public static final String LAST_EVENT_ID = "Last-Event-ID";

    private static final String PREFIX = "/s/";
    private static final long MAX_DEADLINE_MILLIS = 600_000;
    private static final int MAX_URI = 4_096;
    private static final Pattern SERVICE = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,255}");
    private static final Pattern CORRELATION = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");
    private static final Pattern DOTS = Pattern.compile("(?i)(\\.|%2e){1,2}");
    private static final Set<String> METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH");

    /** Headers that concern one connection only, or are set again on each connection. */
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
                    "upgrade",
                    "host",
                    "content-length",
                    "expect",
                    "x-deadline-ms");

    private final CallerLimits mLimits;
    private final Supplier<String> mCorrelationIds;

    /**
     * Creates a parser.
     *
     * @param limits limits for the headers
     * @param correlationIds source of identifiers for requests that carry none
     */
    public CallerRequestParser(CallerLimits limits, Supplier<String> correlationIds) {
        mLimits = limits;
        mCorrelationIds = correlationIds;
    }

    /**
     * Checks a request.
     *
     * @param method HTTP method
     * @param uri path and query as sent
     * @param headers header fields
     * @return the request, or the reason why it is refused
     */
    public ParseResult parse(String method, String uri, MultiMap headers) {
        String given = headers.get(CORRELATION_ID);
        boolean valid = given != null && CORRELATION.matcher(given).matches();
        String correlationId = valid ? given : mCorrelationIds.get();
        try {
            checkLimits(headers);
            if (given != null && !valid) {
                throw bad(CORRELATION_ID + " is not 1 to 128 of A-Z a-z 0-9 . _ : / -");
            }
            return new ParseResult.Valid(request(method, uri, headers, correlationId));
        } catch (InvalidRequestException e) {
            return new ParseResult.Invalid(e.problem(), correlationId);
        }
    }

    /**
     * Selects the headers that are passed on from one connection to the next.
     *
     * @param headers all headers
     * @return end-to-end headers
     */
    static List<HeaderField> endToEnd(Iterable<Map.Entry<String, String>> headers) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase("connection")) {
                for (String name : header.getValue().split(",")) {
                    dropped.add(name.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        List<HeaderField> kept = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                kept.add(new HeaderField(header.getKey(), header.getValue()));
            }
        }
        return kept;
    }

    private CallerRequest request(String method, String uri, MultiMap headers, String correlationId)
            throws InvalidRequestException {
        if (!METHODS.contains(method)) {
            throw new InvalidRequestException(
                    Problem.notRun(
                            405,
                            "method-not-allowed",
                            "Method not allowed",
                            "the method is not one of GET, HEAD, OPTIONS, PUT, DELETE, POST,"
                                    + " PATCH"));
        }
        if (uri.length() > MAX_URI) {
            throw new InvalidRequestException(
                    Problem.notRun(
                            414,
                            "uri-too-long",
                            "URI too long",
                            "path and query exceed " + MAX_URI + " characters"));
        }
        String rest = uri.startsWith(PREFIX) ? uri.substring(PREFIX.length()) : "";
        int end = indexOfAny(rest, "/?");
        String service = rest.substring(0, end);
        if (!SERVICE.matcher(service).matches()) {
            throw bad("the path is not /s/SERVICE/... with a valid service name");
        }
        String path = rest.substring(end);
        checkPath(path.substring(0, indexOfAny(path, "?")));
        List<HeaderField> kept = new ArrayList<>(endToEnd(headers));
        kept.removeIf(field -> field.name().equalsIgnoreCase(CORRELATION_ID));
        kept.add(new HeaderField(CORRELATION_ID, correlationId));
        return new CallerRequest(
                service,
                method,
                path.startsWith("/") ? path : "/" + path,
                kept,
                deadline(headers),
                key(headers),
                correlationId,
                acceptsStream(headers),
                orEmpty(headers.get(LAST_EVENT_ID)));
    }

    private static void checkPath(String path) throws InvalidRequestException {
        for (String segment : path.split("/")) {
            if (DOTS.matcher(segment).matches()) {
                throw bad("the path contains a . or .. segment");
            }
        }
    }

    private void checkLimits(MultiMap headers) throws InvalidRequestException {
        long bytes = 0;
        int count = 0;
        for (Map.Entry<String, String> header : headers) {
            bytes += header.getKey().length() + header.getValue().length();
            count++;
        }
        if (count > mLimits.maxHeaderCount() || bytes > mLimits.maxHeaderBytes()) {
            throw new InvalidRequestException(
                    Problem.notRun(
                            431,
                            "headers-too-large",
                            "Request header fields too large",
                            "more than "
                                    + mLimits.maxHeaderCount()
                                    + " header fields or "
                                    + mLimits.maxHeaderBytes()
                                    + " bytes of them"));
        }
    }

    private static long deadline(MultiMap headers) throws InvalidRequestException {
        String text = single(headers, DEADLINE);
        if (text.isEmpty()) {
            return 0;
        }
        try {
            long millis = Long.parseLong(text);
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException e) {
            // Reported below together with the values out of range.
        }
        throw bad(DEADLINE + " is not a whole number from 1 to " + MAX_DEADLINE_MILLIS);
    }

    private static String key(MultiMap headers) throws InvalidRequestException {
        String key = single(headers, IDEMPOTENCY_KEY);
        boolean present = headers.contains(IDEMPOTENCY_KEY);
        if (present && !KEY.matcher(key).matches()) {
            throw bad(IDEMPOTENCY_KEY + " is not 1 to 255 printable ASCII characters");
        }
        return key;
    }

    private static String single(MultiMap headers, String name) throws InvalidRequestException {
        List<String> values = headers.getAll(name);
        if (values.size() > 1) {
            throw bad(name + " is given more than once");
        }
        return values.isEmpty() ? "" : values.getFirst().trim();
    }

    private static boolean acceptsStream(MultiMap headers) {
        return headers.getAll("Accept").stream().anyMatch(v -> v.contains("text/event-stream"));
    }

    private static int indexOfAny(String text, String characters) {
        int i = 0;
        while (i < text.length() && characters.indexOf(text.charAt(i)) < 0) {
            i++;
        }
        return i;
    }

    private static String orEmpty(String text) {
        return text == null ? "" : text;
    }

    private static InvalidRequestException bad(String detail) {
        return new InvalidRequestException(Problem.badRequest(detail));
    }
}
