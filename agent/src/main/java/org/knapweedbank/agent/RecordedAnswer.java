package org.knapweedbank.agent;

import java.util.List;
import org.knapweedbank.wire.HeaderField;

/**
 * A complete answer of an upstream, kept for requests that repeat the idempotency key.
 *
 * @param status HTTP status code
 * @param headers end-to-end headers
 * @param body complete body
 */
record RecordedAnswer(int status, List<HeaderField> headers, byte[] body) {}
