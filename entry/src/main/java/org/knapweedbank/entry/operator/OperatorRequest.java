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
 * @param query value of a query parameter, or null
 * @param header value of a header, or null
 * @param body body, empty if there is none
 */
record OperatorRequest(
        String operator,
        Function<String, String> query,
        Function<String, String> header,
        byte[] body) {
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");
    private static final Pattern CHANGE = Pattern.compile("[A-Za-z0-9-]{0,64}");

    /** Value of {@code confirm} that allows a site without a data centre in service. */
    static final String CONFIRM_NONE = "no-data-centre-in-service";

    /**
     * Number in a query parameter.
     *
     * @throws InvalidOperatorRequestException when it is no number in the range
     */
    long number(String name, long least, long most, long otherwise) {
        String text = query.apply(name);
        if (text == null) {
            return otherwise;
        }
        long value = NUMBER.matcher(text).matches() ? Long.parseLong(text) : -1;
        if (value < least || value > most) {
            throw new InvalidOperatorRequestException(
                    "query parameter %s: found %s; accepted: an integer from %d to %d"
                            .formatted(name, shorten(text), least, most));
        }
        return value;
    }

    /**
     * Generation of {@code expect} or {@code If-Match}, and how the change is identified.
     *
     * @param known highest generation known to this entry
     */
    ChangeRequest change(long known) {
        String change = Optional.ofNullable(query.apply("change")).orElse("");
        if (!CHANGE.matcher(change).matches()) {
            throw new InvalidOperatorRequestException(
                    "query parameter change: accepted: up to 64 letters, digits and hyphens");
        }
        String confirm = query.apply("confirm");
        if (confirm != null && !confirm.equals(CONFIRM_NONE)) {
            throw new InvalidOperatorRequestException(
                    "query parameter confirm: found %s; accepted: %s"
                            .formatted(shorten(confirm), CONFIRM_NONE));
        }
        return new ChangeRequest(operator, expect(), change, confirm != null, known);
    }

    private OptionalLong expect() {
        long inQuery = number("expect", 0, Long.MAX_VALUE, -1);
        String match = header.apply("If-Match");
        if (match == null) {
            return inQuery < 0 ? OptionalLong.empty() : OptionalLong.of(inQuery);
        }
        String text = match.strip().replaceAll("^\"(.*)\"$", "$1");
        if (!NUMBER.matcher(text).matches()) {
            throw new InvalidOperatorRequestException(
                    "header If-Match: found %s; accepted: a generation in quotes"
                            .formatted(shorten(match)));
        }
        long inHeader = Long.parseLong(text);
        if (inQuery >= 0 && inQuery != inHeader) {
            throw new InvalidOperatorRequestException(
                    "expect and If-Match name different generations: %d and %d"
                            .formatted(inQuery, inHeader));
        }
        return OptionalLong.of(inHeader);
    }

    private static String shorten(String text) {
        return text.length() <= 40 ? text : text.substring(0, 37) + "...";
    }
}
