package org.knapweedbank.agent;

import java.util.List;
import org.knapweedbank.wire.HeaderField;

/** A whole answer, kept for repeats of an idempotency key. */
record RecordedAnswer(int status, List<HeaderField> headers, byte[] body) {}
