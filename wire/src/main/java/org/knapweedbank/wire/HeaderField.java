package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * One HTTP header field.
 *
 * @param name field name
 * @param value field value
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record HeaderField(String name, String value) {}
