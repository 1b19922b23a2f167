package org.knapweedbank.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts an event stream after whole events and remembers the last event id, so that a stream that
 * continues at another upstream never begins in the middle of an event.
 */
final class EventStreamSplitter {
    /** Largest event that is held back until it is complete. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private String mLastEventId;

    /**
     * Creates a splitter.
     *
     * @param lastEventId last event that the caller has seen, or empty
     */
    EventStreamSplitter(String lastEventId) {
        mLastEventId = lastEventId;
    }

    /** Last event id forwarded, or that of the caller; may be empty. */
    String lastEventId() {
        return mLastEventId;
    }

    /** Drops the incomplete event of an upstream that has been left. */
    void restart() {
        mPending.reset();
    }

    /**
     * Takes bytes of the stream.
     *
     * @param bytes the bytes
     * @return whole events that can be forwarded, possibly empty; null when an event is too large
     */
    byte[] add(byte[] bytes) {
        int before = mPending.size();
        mPending.writeBytes(bytes);
        byte[] all = mPending.toByteArray();
        int end = endOfLastEvent(all, Math.max(0, before - 3));
        if (end == 0) {
            return all.length > MAX_EVENT_BYTES ? null : new byte[0];
        }
        byte[] events = Arrays.copyOf(all, end);
        mPending.reset();
        mPending.write(all, end, all.length - end);
        readIds(events);
        return events;
    }

    /** Returns the incomplete event at the regular end of a stream. */
    byte[] rest() {
        byte[] rest = mPending.toByteArray();
        mPending.reset();
        return rest;
    }

    /** Finds the end of the last blank line; lines end with LF, CR or CRLF. */
    private static int endOfLastEvent(byte[] bytes, int from) {
        for (int i = bytes.length - 1; i > from; i--) {
            if (bytes[i] == '\n' && (bytes[i - 1] == '\n' || blankBeforeCrLf(bytes, i))) {
                return i + 1;
            }
            if (bytes[i] == '\r' && bytes[i - 1] == '\r') {
                return i + 1;
            }
        }
        return 0;
    }

    private static boolean blankBeforeCrLf(byte[] bytes, int lineFeed) {
        return bytes[lineFeed - 1] == '\r' && lineFeed >= 2 && bytes[lineFeed - 2] == '\n';
    }

    private void readIds(byte[] events) {
        String text = new String(events, StandardCharsets.UTF_8);
        for (String line : text.split("\r\n|\n|\r")) {
            if (line.startsWith("id:") && line.indexOf('\0') < 0) {
                String id = line.substring("id:".length());
                mLastEventId = id.startsWith(" ") ? id.substring(1) : id;
            }
        }
    }
}
