package org.knapweedbank.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import java.io.IOException;

/**
 * Reads integers with a range check. The parser of the MessagePack library truncates a number that
 * is too large for the type asked for, where Jackson's own parsers report an error.
 *
 * @param <T> {@code Integer} or {@code Long}
 */
final class IntegerDeserializer<T extends Number> extends StdScalarDeserializer<T> {
    private static final long serialVersionUID = 1L;

    private final boolean mWide;

    /**
     * Creates a deserializer.
     *
     * @param type {@code int.class} or {@code long.class}
     */
    IntegerDeserializer(Class<T> type) {
        super(type);
        mWide = type == long.class;
    }

    @Override
    public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
        if (!parser.hasToken(JsonToken.VALUE_NUMBER_INT)) {
            return number(context.handleUnexpectedToken(handledType(), parser));
        }
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            return outOfRange(parser, context);
        }
        long value = parser.getLongValue();
        if (mWide) {
            return number(value);
        }
        if (value != (int) value) {
            return outOfRange(parser, context);
        }
        return number((int) value);
    }

    private T outOfRange(JsonParser parser, DeserializationContext context) throws IOException {
        return number(
                context.handleWeirdNumberValue(
                        handledType(), parser.getNumberValue(), "number is out of range"));
    }

    @SuppressWarnings("unchecked")
    private T number(Object value) {
        return (T) value;
    }
}
