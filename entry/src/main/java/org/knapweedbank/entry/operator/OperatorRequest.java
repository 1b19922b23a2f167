package org.knapweedbank.entry.operator;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.knapweedbank.config.ChangeRequest;

/**
 * Authenticated request of an operator.
 *
 * @param operator name of the operator
 * @param queryParameter returns the value of a query parameter by name, or null
 * @param headerValue returns the value of a header by name, or null
 * @param body request body, empty if there is none
 */
record OperatorRequest(
        String operator,
        Function<String, String> queryParameter,
        Function<String, String> headerValue,
        byte[] body) {
    private static final Pattern NON_NEGATIVE_INTEGER = Pattern.compile("[0-9]{1,18}");
    private static final Pattern CHANGE_ID = Pattern.compile("[A-Za-z0-9-]{0,64}");

    /**
     * Value of the {@code confirm} parameter that permits a site without a data centre in service.
     */
    static final String CONFIRM_NO_DATA_CENTRE = "no-data-centre-in-service";

    /**
     * Parses a query parameter as an integer.
     *
     * @param name name of the parameter
     * @param min smallest accepted value
     * @param max largest accepted value
     * @param defaultValue result if the parameter is missing
     * @throws InvalidOperatorRequestException if the value is not an integer in the range
     */
    long numberParameter(String name, long min, long max, long defaultValue) {
        String text = queryParameter.apply(name);
        if (text == null) {
            return defaultValue;
        }
        long value = NON_NEGATIVE_INTEGER.matcher(text).matches() ? Long.parseLong(text) : -1;
        if (value < min || value > max) {
            throw new InvalidOperatorRequestException(
                    "query parameter %s: found %s; accepted: an integer from %d to %d"
                            .formatted(name, abbreviate(text), min, max));
        }
        return value;
    }

    /**
     * Returns the change request with the operator, the generation expected by {@code expect} or
     * {@code If-Match}, the change id and the confirmation.
     *
     * @param knownGeneration highest configuration generation known to this entry
     * @throws InvalidOperatorRequestException if a parameter or header is invalid
     */
    ChangeRequest toChangeRequest(long knownGeneration) {
        String changeId = Optional.ofNullable(queryParameter.apply("change")).orElse("");
        if (!CHANGE_ID.matcher(changeId).matches()) {
            throw new InvalidOperatorRequestException(
                    "query parameter change: accepted: up to 64 letters, digits and hyphens");
        }
        String confirm = queryParameter.apply("confirm");
        if (confirm != null && !confirm.equals(CONFIRM_NO_DATA_CENTRE)) {
            throw new InvalidOperatorRequestException(
                    "query parameter confirm: found %s; accepted: %s"
                            .formatted(abbreviate(confirm), CONFIRM_NO_DATA_CENTRE));
        }
        return new ChangeRequest(
                operator, expectedGeneration(), changeId, confirm != null, knownGeneration);
    }

    private OptionalLong expectedGeneration() {
        long queryGeneration = numberParameter("expect", 0, Long.MAX_VALUE, -1);
        String ifMatch = headerValue.apply("If-Match");
        if (ifMatch == null) {
            return queryGeneration < 0 ? OptionalLong.empty() : OptionalLong.of(queryGeneration);
        }
        String text = ifMatch.strip().replaceAll("^\"(.*)\"$", "$1");
        if (!NON_NEGATIVE_INTEGER.matcher(text).matches()) {
            throw new InvalidOperatorRequestException(
                    "header If-Match: found %s; accepted: a generation in quotes"
                            .formatted(abbreviate(ifMatch)));
        }
        long headerGeneration = Long.parseLong(text);
        if (queryGeneration >= 0 && queryGeneration != headerGeneration) {
            throw new InvalidOperatorRequestException(
                    "expect and If-Match name different generations: %d and %d"
                            .formatted(queryGeneration, headerGeneration));
        }
        return OptionalLong.of(headerGeneration);
    }

    private static String abbreviate(String text) {
        return text.length() <= 40 ? text : text.substring(0, 37) + "...";
    }
}
