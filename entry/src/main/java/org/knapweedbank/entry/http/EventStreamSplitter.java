package org.knapweedbank.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits an event stream at event boundaries and tracks the last event id, so that a stream that is
 * resumed at another upstream never starts in the middle of an event.
 */
final class EventStreamSplitter {
    /** Largest incomplete event that is buffered. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private String mLastEventId;

    /**
     * Creates a splitter.
     *
     * @param lastEventId id of the last event that the caller has received, or empty
     */
    EventStreamSplitter(String lastEventId) {
        mLastEventId = lastEventId;
    }

    /**
     * Returns the id of the last forwarded event, or initially that of the caller; may be empty.
     */
    String lastEventId() {
        return mLastEventId;
    }

    /** Discards an incomplete event, because the next bytes come from another attempt. */
    void discardIncompleteEvent() {
        mPending.reset();
    }

    /**
     * Appends bytes of the stream.
     *
     * @param bytes the bytes
     * @return the complete events that can be forwarded, possibly empty; null if the incomplete
     *     event exceeds {@link #MAX_EVENT_BYTES}
     */
    byte[] append(byte[] bytes) {
        int pendingBytes = mPending.size();
        mPending.writeBytes(bytes);
        byte[] buffered = mPending.toByteArray();
        int end = endOfLastEvent(buffered, Math.max(0, pendingBytes - 3));
        if (end == 0) {
            return buffered.length > MAX_EVENT_BYTES ? null : new byte[0];
        }
        byte[] events = Arrays.copyOf(buffered, end);
        mPending.reset();
        mPending.write(buffered, end, buffered.length - end);
        updateLastEventId(events);
        return events;
    }

    /**
     * Returns and clears the bytes after the last event boundary, at the regular end of a stream.
     */
    byte[] takeRemainder() {
        byte[] remainder = mPending.toByteArray();
        mPending.reset();
        return remainder;
    }

    /**
     * Returns the index after the last blank line, which ends an event, or 0 if there is none.
     * Lines end with LF, CR or CRLF.
     *
     * @param from index from which a blank line may end
     */
    private static int endOfLastEvent(byte[] bytes, int from) {
        for (int i = bytes.length - 1; i > from; i--) {
            if (bytes[i] == '\n' && (bytes[i - 1] == '\n' || isBlankCrLfLine(bytes, i))) {
                return i + 1;
            }
            if (bytes[i] == '\r' && bytes[i - 1] == '\r') {
                return i + 1;
            }
        }
        return 0;
    }

    private static boolean isBlankCrLfLine(byte[] bytes, int lineFeed) {
        return bytes[lineFeed - 1] == '\r' && lineFeed >= 2 && bytes[lineFeed - 2] == '\n';
    }

    private void updateLastEventId(byte[] events) {
        String text = new String(events, StandardCharsets.UTF_8);
        for (String line : text.split("\r\n|\n|\r")) {
            if (line.startsWith("id:") && line.indexOf('\0') < 0) {
                String id = line.substring("id:".length());
                mLastEventId = id.startsWith(" ") ? id.substring(1) : id;
            }
        }
    }
}
