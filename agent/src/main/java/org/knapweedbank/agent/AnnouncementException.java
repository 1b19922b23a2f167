package org.knapweedbank.agent;

/** An announcement that cannot be accepted. */
final class AnnouncementException extends Exception {
    private static final long serialVersionUID = 1L;

    AnnouncementException(String message) {
        super(message);
    }
}
