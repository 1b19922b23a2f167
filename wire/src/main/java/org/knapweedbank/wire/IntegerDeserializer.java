package org.knapweedbank.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import java.io.IOException;

/**
 * Deserializes integers with a range check. Unlike Jackson's own parsers, which report an error,
 * the parser of the MessagePack library truncates a number that is too large for the requested
 * type.
 *
 * @param <T> {@code Integer} or {@code Long}
 */
final class IntegerDeserializer<T extends Number> extends StdScalarDeserializer<T> {
    private static final long serialVersionUID = 1L;

    private final boolean mIsLong;

    /**
     * Creates a deserializer.
     *
     * @param type {@code int.class} or {@code long.class}
     */
    IntegerDeserializer(Class<T> type) {
        super(type);
        mIsLong = type == long.class;
    }

    @Override
    public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
        if (!parser.hasToken(JsonToken.VALUE_NUMBER_INT)) {
            return cast(context.handleUnexpectedToken(handledType(), parser));
        }
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            return reportOutOfRange(parser, context);
        }
        long value = parser.getLongValue();
        if (mIsLong) {
            return cast(value);
        }
        if (value != (int) value) {
            return reportOutOfRange(parser, context);
        }
        return cast((int) value);
    }

    private T reportOutOfRange(JsonParser parser, DeserializationContext context)
            throws IOException {
        return cast(
                context.handleWeirdNumberValue(
                        handledType(), parser.getNumberValue(), "number is out of range"));
    }

    @SuppressWarnings("unchecked")
    private T cast(Object value) {
        return (T) value;
    }
}
