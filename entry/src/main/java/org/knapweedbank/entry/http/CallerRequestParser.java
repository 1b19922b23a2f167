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

/** Parses and validates the request line and headers of a caller's request. */
public final class CallerRequestParser {
    /** Name of the header with the time allowed for the response, in milliseconds. */
    public static final String DEADLINE_HEADER = "X-Deadline-Ms";

    /** Name of the header with the idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    /** Name of the header with the identifier that correlates log lines of a request. */
    public static final String CORRELATION_ID_HEADER = "X-Correlation-Id";

    /** Name of the header with the id of the last event that the caller has received. */
    public static final String LAST_EVENT_ID_HEADER = "Last-Event-ID";

    private static final String SERVICE_PATH_PREFIX = "/s/";
    private static final long MAX_DEADLINE_MILLIS = 600_000;
    private static final int MAX_URI_LENGTH = 4_096;
    private static final Pattern SERVICE_NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern IDEMPOTENCY_KEY_FORMAT = Pattern.compile("[\\x21-\\x7e]{1,255}");
    private static final Pattern CORRELATION_ID_FORMAT = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");
    private static final Pattern DOT_SEGMENT = Pattern.compile("(?i)(\\.|%2e){1,2}");
    private static final Set<String> ACCEPTED_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH");

    /** Headers that apply to a single connection or are set anew on each connection. */
    private static final Set<String> CONNECTION_HEADERS =
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
    private final Supplier<String> mCorrelationIdSource;

    /**
     * Creates a parser.
     *
     * @param limits limits for the headers
     * @param correlationIdSource supplies a correlation id for each request without a valid one
     */
    public CallerRequestParser(CallerLimits limits, Supplier<String> correlationIdSource) {
        mLimits = limits;
        mCorrelationIdSource = correlationIdSource;
    }

    /**
     * Parses and validates a request.
     *
     * @param method HTTP method
     * @param uri path and query as sent by the caller
     * @param headers header fields
     * @return the request, or the problem for which it is rejected
     */
    public ParseResult parse(String method, String uri, MultiMap headers) {
        String suppliedId = headers.get(CORRELATION_ID_HEADER);
        boolean valid = suppliedId != null && CORRELATION_ID_FORMAT.matcher(suppliedId).matches();
        String correlationId = valid ? suppliedId : mCorrelationIdSource.get();
        try {
            checkLimits(headers);
            if (suppliedId != null && !valid) {
                throw badRequest(
                        CORRELATION_ID_HEADER + " is not 1 to 128 of A-Z a-z 0-9 . _ : / -");
            }
            return new ParseResult.Valid(toCallerRequest(method, uri, headers, correlationId));
        } catch (InvalidRequestException e) {
            return new ParseResult.Invalid(e.problem(), correlationId);
        }
    }

    /**
     * Selects the headers that are forwarded from one connection to the next. Excludes the
     * connection headers and those that the Connection header names.
     *
     * @param headers all headers of a request or response
     * @return the end-to-end headers
     */
    static List<HeaderField> selectForwardedHeaders(Iterable<Map.Entry<String, String>> headers) {
        Set<String> excluded = new HashSet<>(CONNECTION_HEADERS);
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase("connection")) {
                for (String name : header.getValue().split(",")) {
                    excluded.add(name.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        List<HeaderField> forwarded = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            if (!excluded.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                forwarded.add(new HeaderField(header.getKey(), header.getValue()));
            }
        }
        return forwarded;
    }

    private CallerRequest toCallerRequest(
            String method, String uri, MultiMap headers, String correlationId)
            throws InvalidRequestException {
        if (!ACCEPTED_METHODS.contains(method)) {
            throw new InvalidRequestException(
                    Problem.notRun(
                            405,
                            "method-not-allowed",
                            "Method not allowed",
                            "the method is not one of GET, HEAD, OPTIONS, PUT, DELETE, POST,"
                                    + " PATCH"));
        }
        if (uri.length() > MAX_URI_LENGTH) {
            throw new InvalidRequestException(
                    Problem.notRun(
                            414,
                            "uri-too-long",
                            "URI too long",
                            "path and query exceed " + MAX_URI_LENGTH + " characters"));
        }
        String remainder =
                uri.startsWith(SERVICE_PATH_PREFIX)
                        ? uri.substring(SERVICE_PATH_PREFIX.length())
                        : "";
        int end = indexOfAny(remainder, "/?");
        String service = remainder.substring(0, end);
        if (!SERVICE_NAME.matcher(service).matches()) {
            throw badRequest("the path is not /s/SERVICE/... with a valid service name");
        }
        String path = remainder.substring(end);
        checkPath(path.substring(0, indexOfAny(path, "?")));
        List<HeaderField> forwarded = new ArrayList<>(selectForwardedHeaders(headers));
        forwarded.removeIf(field -> field.name().equalsIgnoreCase(CORRELATION_ID_HEADER));
        forwarded.add(new HeaderField(CORRELATION_ID_HEADER, correlationId));
        return new CallerRequest(
                service,
                method,
                path.startsWith("/") ? path : "/" + path,
                forwarded,
                parseDeadlineMillis(headers),
                parseIdempotencyKey(headers),
                correlationId,
                acceptsEventStream(headers),
                orEmpty(headers.get(LAST_EVENT_ID_HEADER)));
    }

    private static void checkPath(String path) throws InvalidRequestException {
        for (String segment : path.split("/")) {
            if (DOT_SEGMENT.matcher(segment).matches()) {
                throw badRequest("the path contains a . or .. segment");
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

    private static long parseDeadlineMillis(MultiMap headers) throws InvalidRequestException {
        String text = singleValue(headers, DEADLINE_HEADER);
        if (text.isEmpty()) {
            return 0;
        }
        try {
            long millis = Long.parseLong(text);
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException e) {
            // Falls through to the error for values out of range.
        }
        throw badRequest(
                DEADLINE_HEADER + " is not a whole number from 1 to " + MAX_DEADLINE_MILLIS);
    }

    private static String parseIdempotencyKey(MultiMap headers) throws InvalidRequestException {
        String key = singleValue(headers, IDEMPOTENCY_KEY_HEADER);
        boolean present = headers.contains(IDEMPOTENCY_KEY_HEADER);
        if (present && !IDEMPOTENCY_KEY_FORMAT.matcher(key).matches()) {
            throw badRequest(
                    IDEMPOTENCY_KEY_HEADER + " is not 1 to 255 printable ASCII characters");
        }
        return key;
    }

    private static String singleValue(MultiMap headers, String name)
            throws InvalidRequestException {
        List<String> values = headers.getAll(name);
        if (values.size() > 1) {
            throw badRequest(name + " is given more than once");
        }
        return values.isEmpty() ? "" : values.getFirst().trim();
    }

    private static boolean acceptsEventStream(MultiMap headers) {
        return headers.getAll("Accept").stream()
                .anyMatch(value -> value.contains("text/event-stream"));
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

    private static InvalidRequestException badRequest(String detail) {
        return new InvalidRequestException(Problem.badRequest(detail));
    }
}
